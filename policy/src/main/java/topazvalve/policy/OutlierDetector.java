package topazvalve.policy;

/** Ejects endpoints that this sidecar's own attempts show to be slow or failing, and admits trial requests. */
record OutlierDetector(PolicyContext context, ResponseTimeEstimator estimator) {
    private static final double TOO_LATE_FRACTION = 0.75; // of the objective: an endpoint is of no use to the class
    private static final double FAST_FRACTION = 0.25; // of the objective: an endpoint takes every turn
    private static final double MAX_SLOWDOWN = 2; // machines of one fleet differ about twofold from their mean
    private static final double SLOW_KIND_EXPONENT = 4;
    private static final double MIN_TURNS = 0.1; // so that the evidence is checked again
    private static final int BELIEVED_HEALTH_CHECKS = 6; // one in so many unanswered: a server may not know them

    /** Evidence about one endpoint; its exposure is waiting time in multiples of the expected time. */
    static final class Evidence {
        private double rate; // of exposure: sum of 1 / expected time over the attempts in flight
        private long integratedAt;
        private double exposure;
        private double responses; // counted with the same decay as the exposure
        private int connectFailures;
        private long nextTrialAt; // 0 if not ejected
        private long backoff; // until the next trial
        private boolean healthCheckOutstanding;
        private boolean trialAllowed; // a health check or trial succeeded, and no request followed it
        private int unansweredHealthChecks;

        private void integrate(long now) {
            exposure += rate * (now - integratedAt);
            integratedAt = now;
        }

        /** How many times slower than expected it answers; two responses at {@code assumed} are added. */
        private double slowdown(long now, double assumed) {
            return (exposure + rate * (now - integratedAt) + 2 * assumed) / (responses + 2);
        }

        private boolean isOutlier(long now, double expected, double objective) {
            double slowdown = slowdown(now, 1);
            boolean slow = slowdown > MAX_SLOWDOWN && slowdown * expected > TOO_LATE_FRACTION * objective;
            return connectFailures > 0 || slow;
        }

        private void addResponse(boolean fast) {
            double kept = fast || nextTrialAt > 0 ? 0.5 : 0.9; // less of what a trial or a fast response contradicts
            exposure *= kept;
            responses = responses * kept + 1;
            connectFailures = 0;
        }
    }

    double fractionOfTurns(long now, EndpointState endpoint, RequestState request) {
        double slowdown = endpoint.evidence.slowdown(now, estimator.kindSlowdown(endpoint));
        boolean fast = slowdown * request.expectedTime < FAST_FRACTION * request.objective;
        double fraction = Math.pow(estimator.fastestKind() / slowdown, SLOW_KIND_EXPONENT);
        return fast || endpoint.evidence.nextTrialAt > 0 ? 1 : Math.max(MIN_TURNS, Math.min(1, fraction));
    }

    /** Ejects or reinstates the endpoint by its evidence until now; an ejected one is admitted for a due trial only. */
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
        boolean required = context.settings().capabilities().healthChecks();
        boolean admitted = endpoint.evidence.trialAllowed || !required;
        if (!admitted && !endpoint.evidence.healthCheckOutstanding) {
            endpoint.evidence.healthCheckOutstanding = true;
            context.actions().sendHealthCheck(endpoint.info.id());
        }
        return admitted;
    }

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
        evidence.backoff = Math.min(evidence.backoff * 2, estimator.shortestObjective() * 8); // doubles up to 8
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
                evidence.addResponse(responseTime / request.expectedTime < evidence.slowdown(now, 1) / 2);
                if (evidence.nextTrialAt > 0 && responseTime < request.objective) {
                    evidence.trialAllowed = true; // a successful trial: the next may follow at once
                    evidence.nextTrialAt = now;
                    evidence.backoff = estimator.shortestObjective();
                }
            }
            case ERROR, RESET -> {
                evidence.addResponse(false); // at twice the objective: two in a row eject, one does not
                evidence.exposure += 2 * request.objective / request.expectedTime;
            }
            case CONNECT_FAILED -> evidence.connectFailures++;
            default -> {} // a timeout shows in the exposure; a rejection in the concurrency limit
        }
    }

    void healthCheckCompleted(long now, EndpointState endpoint, boolean answered) {
        Evidence evidence = endpoint.evidence;
        if (evidence.healthCheckOutstanding) {
            evidence.healthCheckOutstanding = false;
            evidence.trialAllowed = answered || ++evidence.unansweredHealthChecks % BELIEVED_HEALTH_CHECKS == 0;
            if (!evidence.trialAllowed) {
                extendBackoff(now, evidence);
            }
        }
    }
}
