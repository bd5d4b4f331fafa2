package topazvalve.policy;

import java.util.List;
import java.util.Map;

/** Sends and ends the attempts of all open requests, and gives each request its one final answer. */
record AttemptTracker(
        PolicyContext context,
        EndpointRegistry registry,
        OutlierDetector detector,
        ConcurrencyLimiter limiter,
        LoadProbing probing,
        Map<Long, RequestState> requests) {
    private static final double MAX_SHED_FRACTION_FOR_RETRIES = 0.8; // a retry takes the place of a first attempt

    void startClock(long now, RequestState request) {
        request.startClock(now);
        context.timers().schedule(request.deadline, at -> {
            if (!request.streaming && at >= request.deadline) {
                answer(request);
            }
        });
    }

    void bodyCompleted(long now, RequestState request) {
        request.bodyArriving = false;
        startClock(now, request);
        if (request.hasOutstandingAttempt()) {
            startAttempt(now, request.attempts.get(request.attempts.size() - 1), request);
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
        boolean stopWhenLate = probing.isEnabled() && request.requestClass.lateFraction() == 0;
        long timeout = stopWhenLate && request.objectiveAt > now ? request.objectiveAt - now : 0;
        context.actions().forward(request.request.id(), endpoint.info.id(), timeout);
    }

    private void startAttempt(long now, AttemptState attempt, RequestState request) {
        attempt.startedAt = now;
        attempt.inFlightBefore = attempt.endpoint.inFlight++;
        attempt.started = true;
        limiter.attemptStarted(attempt);
        detector.attemptStarted(now, attempt.endpoint, request);
    }

    /** Answers the request where its last attempt leaves it without one; true if it needs a retry. */
    boolean attemptCompleted(long now, AttemptState attempt, Outcome outcome, RequestState request, boolean ended) {
        attempt.outstanding = false;
        attempt.endpoint.openStreams -= attempt.openStream ? 1 : 0;
        attempt.mayHaveRun = !outcome.provesNeverRan();
        settle(now, attempt, outcome, request);
        if (ended || request.closed) {
            close(request);
            return false;
        }
        if (request.bodyArriving) {
            startClock(now, request);
        }
        boolean useful = now < request.objectiveAt && limiter.shedFraction(now) < MAX_SHED_FRACTION_FOR_RETRIES;
        boolean allowed = request.mayRetry(now, context.settings().clockResolutionNanos());
        boolean retry = allowed && useful && registry.ready().stream().anyMatch(request::mayUse);
        if (!retry) {
            answer(request);
        }
        return retry;
    }

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

    /** Gives the final answer: rejected where a client's retry is known to be harmless, else failed. */
    void answer(RequestState request) {
        if (request.closed) {
            return;
        }
        if (request.isClientRetryHarmless()) {
            Capabilities allowed = context.settings().capabilities();
            long retryAfter = Math.min(allowed.maxRetryAfterNanos(), request.objective / 2);
            context.actions().reject(request.request.id(), allowed.retryAfter() ? retryAfter : 0);
        } else {
            context.actions().fail(request.request.id());
        }
        close(request);
    }

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
