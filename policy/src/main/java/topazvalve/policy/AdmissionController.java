package topazvalve.policy;

import java.util.List;

/** Sends a request now, queues it while it can still meet its latency objective, or rejects it. */
record AdmissionController(
        PolicyContext context,
        EndpointRegistry registry,
        RandomizedRoundRobin rotation,
        OutlierDetector detector,
        ConcurrencyLimiter limiter,
        TenantQueues queues,
        LoadProbing probing,
        AttemptTracker attempts) {
    /**
     * Divisor of the expected time, bounded by the objective. A first request that is likely to be late is rejected,
     * but not before half of its objective: a class that is never sent could not show that it would be in time by now.
     */
    private static final int MIN_RESPONSE_TIME_DIVISOR = 2;

    void admit(long now, RequestState request) {
        boolean first = request.attempts.isEmpty();
        if (now >= request.deadline) {
            attempts.answer(request, AnswerReason.DEADLINE);
        } else if (registry.ready().isEmpty()) {
            attempts.answer(request, AnswerReason.NO_ENDPOINT);
        } else if (request.allCandidatesOverloaded) {
            attempts.answer(request, AnswerReason.ENDPOINTS_OVERLOADED);
        } else if (first && !request.probed && limiter.drawShedding(now, request)) {
            attempts.answer(request, AnswerReason.LOAD_SHED);
        } else if (request.probed || !probing.isEnabled() || !startProbing(now, request)) {
            double expectedTime = Math.min(request.expectedTime, request.objective);
            if (first && now + expectedTime / MIN_RESPONSE_TIME_DIVISOR >= request.objectiveAt) {
                attempts.answer(request, AnswerReason.EXPECTED_LATE);
            } else if (!queues.isEmpty() || !trySend(now, request)) { // tenant quotas order the queue
                queues.enqueue(request);
                scheduleQueueExpiry(now, request);
                drainQueue(now);
            }
        }
    }

    private boolean startProbing(long now, RequestState request) {
        List<EndpointState> candidates = rotation.inTurn()
                .filter(endpoint -> tryAdmit(now, endpoint, request, false))
                .limit(LoadProbing.CANDIDATES)
                .toList();
        return probing.start(now, request, candidates, (probed, at) -> admit(at, probed));
    }

    void scheduleQueueExpiry(long now, RequestState request) {
        context.timers().schedule(Math.max(now + 1, request.queueExpiresAt()), at -> {
            if (request.queued && at >= request.queueExpiresAt()) {
                attempts.answer(request, AnswerReason.QUEUE_EXPIRED);
            }
        });
    }

    void drainQueue(long now) {
        queues.drain(now, request -> trySend(now, request));
    }

    private boolean trySend(long now, RequestState request) {
        EndpointState endpoint = limiter.releaseOverdueAndCheckFull(now, request) ? null : pick(now, request);
        if (endpoint != null) {
            attempts.send(now, request, endpoint);
            queues.requestSent(now, request);
        }
        return endpoint != null;
    }

    private EndpointState pick(long now, RequestState request) {
        boolean allowed = request.attempts.isEmpty()
                || request.mayRetry(now, context.settings().clockResolutionNanos());
        EndpointState endpoint = allowed ? pick(now, request, false) : null;
        boolean allEjected = endpoint == null
                && registry.ready().stream().noneMatch(each -> detector.admitOrScheduleTrial(now, each, request));
        // If every ready endpoint is an outlier, the fault is common to all of them and the ejections are ignored.
        return allEjected && allowed ? pick(now, request, true) : endpoint;
    }

    private EndpointState pick(long now, RequestState request, boolean ignoreOutliers) {
        return rotation.pick(
                request.attempts.isEmpty(),
                endpoint -> tryAdmit(now, endpoint, request, ignoreOutliers),
                endpoint -> endpoint.takeTurn(detector.fractionOfTurns(now, endpoint, request)));
    }

    /**
     * Returns whether the endpoint may take the request. The order of the conditions matters: the detector and the slow
     * start also change state, and only if all conditions before them hold.
     */
    private boolean tryAdmit(long now, EndpointState endpoint, RequestState request, boolean ignoreOutliers) {
        return (request.attempts.isEmpty() || request.mayUse(endpoint))
                && endpoint.inFlight < Math.max(1, (int) endpoint.concurrencyLimit)
                && (ignoreOutliers || detector.admitOrScheduleTrial(now, endpoint, request))
                && (ignoreOutliers || !probing.isExcluded(endpoint, request))
                && limiter.refillTokensAndAdmit(now, endpoint, request);
    }
}
