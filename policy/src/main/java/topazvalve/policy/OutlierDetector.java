package topazvalve.policy;

/** Ejects endpoints that this sidecar's own attempts show to be slow or failing, and admits trial requests. */
record OutlierDetector(PolicyContext context, ResponseTimeEstimator estimator) {
    /** Fraction of the objective. An endpoint that is slower is of no use to the class. */
    private static final double TOO_SLOW_FRACTION = 0.75;

    /** Fraction of the objective. An endpoint that is faster takes all its turns. */
    private static final double FAST_FRACTION = 0.25;

    /** The slowdown up to which an endpoint is not slow: machines of one fleet differ about twofold from their mean. */
    private static final double MAX_SLOWDOWN = 2;

    /** How steeply the turns of an endpoint fall with its slowdown, relative to the fastest machine kind. */
    private static final double SLOWDOWN_EXPONENT = 4;

    /** The least fraction of its turns that a slow endpoint takes, so that its evidence stays up to date. */
    private static final double MIN_TURN_FRACTION = 0.1;

    /** One trial is admitted per so many unanswered health checks: a server may not support health checks. */
    private static final int UNANSWERED_CHECKS_PER_TRIAL = 6;

    /** The longest backoff between trials, in multiples of the shortest objective. */
    private static final int MAX_BACKOFF_OBJECTIVES = 8;

    /** The time that an error counts for, in multiples of the objective: two errors in a row eject, one does not. */
    private static final int ERROR_OBJECTIVES = 2;

    /** How many responses at an assumed slowdown are added to the evidence. */
    private static final int ASSUMED_RESPONSES = 2;

    /** A response is fast if its slowdown is less than this part of the slowdown by the evidence. */
    private static final int FAST_RESPONSE_DIVISOR = 2;

    /** The part of the older evidence that each response leaves. */
    private static final double EVIDENCE_KEPT = 0.9;

    /** The part that a fast response or a response to a trial leaves, since it contradicts the older evidence. */
    private static final double CONTRADICTED_EVIDENCE_KEPT = 0.5;

    /** Evidence about one endpoint. Its exposure is the time spent waiting, in multiples of the expected times. */
    static final class Evidence {
        private double rate; // growth of the exposure: the sum of 1 / expected time over the attempts in flight
        private long integratedAt;
        private double exposure;
        private double responses; // counted with the same decay as the exposure
        private int connectFailures;
        private long nextTrialAt; // 0 if not ejected
        private long backoff; // between trials
        private boolean healthCheckOutstanding;
        private boolean trialAllowed; // a health check or a trial succeeded, and no request was sent since
        private int unansweredHealthChecks;

        /** Adds the exposure since the last call. */
        private void integrate(long now) {
            exposure += rate * (now - integratedAt);
            integratedAt = now;
        }

        /**
         * Returns the response time in multiples of the expected one, with {@link #ASSUMED_RESPONSES} at the assumed
         * slowdown included.
         */
        private double slowdown(long now, double assumed) {
            double exposureUntilNow = exposure + rate * (now - integratedAt);
            return (exposureUntilNow + ASSUMED_RESPONSES * assumed) / (responses + ASSUMED_RESPONSES);
        }

        private boolean isOutlier(long now, double expected, double objective) {
            double slowdown = slowdown(now, 1);
            boolean slow = slowdown > MAX_SLOWDOWN && slowdown * expected > TOO_SLOW_FRACTION * objective;
            return connectFailures > 0 || slow;
        }

        private void addResponse(boolean fast) {
            double kept = fast || nextTrialAt > 0 ? CONTRADICTED_EVIDENCE_KEPT : EVIDENCE_KEPT;
            exposure *= kept;
            responses = responses * kept + 1;
            connectFailures = 0;
        }
    }

    /** Returns the fraction of its turns in the rotation that an endpoint takes for requests like this one. */
    double fractionOfTurns(long now, EndpointState endpoint, RequestState request) {
        double slowdown = endpoint.evidence.slowdown(now, estimator.kindSlowdown(endpoint));
        boolean fast = slowdown * request.expectedTime < FAST_FRACTION * request.objective;
        double fraction = Math.pow(estimator.fastestKind() / slowdown, SLOWDOWN_EXPONENT);
        return fast || endpoint.evidence.nextTrialAt > 0 ? 1 : Math.max(MIN_TURN_FRACTION, Math.min(1, fraction));
    }

    /** Ejects or reinstates the endpoint by its evidence until now; an ejected one is admitted only for a due trial. */
    boolean admitOrScheduleTrial(long now, EndpointState endpoint, RequestState request) {
        Evidence evidence = endpoint.evidence;
        evidence.integrate(now);
        if (!evidence.isOutlier(now, request.expectedTime, request.objective)) {
            evidence.nextTrialAt = 0;
            evidence.trialAllowed = false;
            return true;
        }
        if (evidence.nextTrialAt == 0) {
            evidence.backoff = estimator.shortestObjective();
            evidence.nextTrialAt = now + evidence.backoff;
        }
        return now >= evidence.nextTrialAt && admitTrialOrSendHealthCheck(endpoint);
    }

    private boolean admitTrialOrSendHealthCheck(EndpointState endpoint) {
        boolean checkRequired = context.settings().capabilities().healthChecks();
        boolean admitted = endpoint.evidence.trialAllowed || !checkRequired;
        if (!admitted && !endpoint.evidence.healthCheckOutstanding) {
            endpoint.evidence.healthCheckOutstanding = true;
            context.actions().sendHealthCheck(endpoint.info.id());
        }
        return admitted;
    }

    /** Returns whether the endpoint is an outlier for every class. */
    boolean isEjected(long now, EndpointState endpoint) {
        boolean ejected = true;
        for (int i = 0; i < context.settings().requestClasses().size(); i++) {
            double objective = context.settings().requestClasses().get(i).latencyObjectiveNanos();
            ejected &= endpoint.evidence.isOutlier(now, estimator.mean(i), objective);
        }
        return ejected;
    }

    private void extendBackoff(long now, Evidence evidence) {
        evidence.trialAllowed = false;
        evidence.backoff = Math.min(evidence.backoff * 2, estimator.shortestObjective() * MAX_BACKOFF_OBJECTIVES);
        evidence.nextTrialAt = now + evidence.backoff;
    }

    void requestSent(long now, EndpointState endpoint) {
        if (endpoint.evidence.nextTrialAt > 0) {
            extendBackoff(now, endpoint.evidence);
        }
    }

    void attemptStarted(long now, EndpointState endpoint, RequestState request) {
        endpoint.evidence.integrate(now);
        endpoint.evidence.rate += 1 / request.expectedTime;
    }

    /** Takes a stall of the host, which ends now, out of the time that an endpoint is waited for. */
    void hostStalled(long now, EndpointState endpoint, long nanos) {
        Evidence evidence = endpoint.evidence;
        evidence.integratedAt = Math.min(now, evidence.integratedAt + nanos);
    }

    void attemptCompleted(long now, AttemptState attempt, Outcome outcome, RequestState request) {
        Evidence evidence = attempt.endpoint.evidence;
        evidence.integrate(now);
        if (attempt.started) {
            evidence.rate = attempt.endpoint.inFlight == 0 ? 0 : Math.max(0, evidence.rate - 1 / request.expectedTime);
        }
        switch (outcome) {
            case OK -> {
                long responseTime = now - attempt.startedAt;
                estimator.responseReceived(attempt.endpoint, request, responseTime);
                double slowdown = evidence.slowdown(now, 1);
                evidence.addResponse(responseTime / request.expectedTime < slowdown / FAST_RESPONSE_DIVISOR);
                if (evidence.nextTrialAt > 0 && responseTime < request.objective) {
                    evidence.trialAllowed = true; // the trial succeeded: the next one may follow at once
                    evidence.nextTrialAt = now;
                    evidence.backoff = estimator.shortestObjective();
                }
            }
            case ERROR, RESET -> {
                evidence.addResponse(false);
                evidence.exposure += ERROR_OBJECTIVES * request.objective / request.expectedTime;
            }
            case CONNECT_FAILED -> evidence.connectFailures++;
            default -> {} // a timeout already shows in the exposure, a rejection in the concurrency limit
        }
    }

    void healthCheckCompleted(long now, EndpointState endpoint, boolean answered) {
        Evidence evidence = endpoint.evidence;
        if (evidence.healthCheckOutstanding) {
            evidence.healthCheckOutstanding = false;
            evidence.trialAllowed = answered || ++evidence.unansweredHealthChecks % UNANSWERED_CHECKS_PER_TRIAL == 0;
            if (!evidence.trialAllowed) {
                extendBackoff(now, evidence);
            }
        }
    }
}
