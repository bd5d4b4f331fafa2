package topazvalve.policy;

import java.util.List;
import java.util.Map;

/** Starts and ends the attempts of all open requests, and gives each request its one final answer. */
record AttemptTracker(
        PolicyContext context,
        EndpointRegistry registry,
        OutlierDetector detector,
        ConcurrencyLimiter limiter,
        LoadProbing probing,
        Map<Long, RequestState> requests) {
    /** No request is retried from this shed fraction on: a retry would take the place of a first attempt. */
    private static final double MAX_SHED_FRACTION_FOR_RETRIES = 0.8;

    private static final int RETRY_AFTER_DIVISOR = 2; // of the latency objective

    void startClock(long now, RequestState request) {
        request.startClock(now);
        context.timers().schedule(request.deadline, at -> {
            if (!request.streaming && at >= request.deadline) {
                answer(request, AnswerReason.DEADLINE);
            }
        });
    }

    void bodyCompleted(long now, RequestState request) {
        request.bodyArriving = false;
        startClock(now, request);
        if (request.hasOutstandingAttempt()) {
            AttemptState attempt = request.attempts.get(request.attempts.size() - 1);
            // The server may have started its response before it had the whole request.
            if (!attempt.settled) {
                startAttempt(now, attempt, request);
            }
        }
    }

    void send(long now, RequestState request, EndpointState endpoint) {
        AttemptState attempt = new AttemptState(endpoint, now);
        request.attempts.add(attempt);
        request.queued = false;
        request.probed = false;
        request.candidates = List.of();
        detector.requestSent(now, endpoint);
        limiter.requestSent(endpoint, request);
        if (request.bodyArriving) {
            request.stopClock();
        } else {
            startAttempt(now, attempt, request);
        }
        boolean timeOutWhenLate = probing.isEnabled() && request.requestClass.lateFraction() == 0;
        long timeout = timeOutWhenLate && request.objectiveAt > now ? request.objectiveAt - now : 0;
        context.actions().forward(request.request.id(), endpoint.info.id(), timeout);
    }

    /** Takes the time for which the host stalled out of the response times and objectives of outstanding attempts. */
    void hostStalled(long now, long nanos) {
        for (RequestState request : requests.values()) {
            if (request.hasOutstandingAttempt() && !request.bodyArriving) {
                AttemptState attempt = request.attempts.get(request.attempts.size() - 1);
                attempt.startedAt = Math.min(now, attempt.startedAt + nanos);
                request.objectiveAt += nanos;
                detector.hostStalled(now, attempt.endpoint, nanos);
            }
        }
    }

    private void startAttempt(long now, AttemptState attempt, RequestState request) {
        attempt.startedAt = now;
        attempt.inFlightBefore = attempt.endpoint.inFlight++;
        attempt.started = true;
        limiter.attemptStarted(attempt);
        detector.attemptStarted(now, attempt.endpoint, request);
    }

    /**
     * Records the end of an attempt, and answers the request if it is still open and is not to be retried.
     *
     * @return whether the request is to be retried
     */
    boolean attemptCompleted(long now, AttemptState attempt, Outcome outcome, RequestState request, boolean completed) {
        attempt.outstanding = false;
        attempt.endpoint.openStreams -= attempt.openStream ? 1 : 0;
        attempt.mayHaveRun = !outcome.provesNeverRan();
        settle(now, attempt, outcome, request);
        if (completed || request.closed) {
            close(request);
            return false;
        }
        if (request.bodyArriving) {
            startClock(now, request);
        }
        boolean worthwhile = now < request.objectiveAt && limiter.shedFraction(now) < MAX_SHED_FRACTION_FOR_RETRIES;
        boolean allowed = request.mayRetry(now, context.settings().clockResolutionNanos());
        boolean retry = allowed && worthwhile && registry.ready().stream().anyMatch(request::mayUse);
        if (!retry) {
            answer(request, AnswerReason.ATTEMPT_FAILED);
        }
        return retry;
    }

    /** Records the result of an attempt once: at its outcome, or when its streamed response starts. */
    void settle(long now, AttemptState attempt, Outcome outcome, RequestState request) {
        if (attempt.settled) {
            return;
        }
        attempt.settled = true;
        if (attempt.started) {
            attempt.endpoint.inFlight--;
            attempt.openStream = request.streaming && request.requestClass.streaming() && attempt.outstanding;
            attempt.endpoint.openStreams += attempt.openStream ? 1 : 0;
        }
        detector.attemptCompleted(now, attempt, outcome, request);
        if (outcome == Outcome.OK) {
            probing.responseReceived(attempt, now - attempt.startedAt);
        }
        limiter.attemptCompleted(now, attempt, outcome, request);
    }

    /** Gives the final answer to an open request: a rejection if a retry by its client is harmless, else a failure. */
    void answer(RequestState request, AnswerReason reason) {
        if (request.closed) {
            return;
        }
        if (request.isClientRetryHarmless()) {
            Capabilities capabilities = context.settings().capabilities();
            long retryAfter = Math.min(capabilities.maxRetryAfterNanos(), request.objective / RETRY_AFTER_DIVISOR);
            context.actions().reject(request.request.id(), capabilities.retryAfter() ? retryAfter : 0, reason);
        } else {
            context.actions().fail(request.request.id(), reason);
        }
        close(request);
    }

    /** Closes a request; it is forgotten only after its last attempt has ended. */
    void close(RequestState request) {
        boolean outstanding = request.hasOutstandingAttempt();
        boolean cancel = outstanding && !request.closed && !request.streaming;
        if (cancel && context.settings().capabilities().cancellation()) {
            context.actions().cancelAttempt(request.request.id(), request.attempts.size() - 1);
        }
        request.closed = true;
        request.queued = false;
        if (!outstanding) {
            requests.remove(request.request.id());
        }
    }
}
