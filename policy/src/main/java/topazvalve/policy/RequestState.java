package topazvalve.policy;

import java.util.ArrayList;
import java.util.List;

/** One client request, from its arrival until its final answer and the end of its last attempt. */
final class RequestState {
    final Request request;
    final RequestClass requestClass;
    final int maxAttempts;
    final long objective; // latency objective in nanoseconds, with the stretch for its cost
    final double expectedTime; // of a response, in nanoseconds
    private final long elapsedBefore; // in nanoseconds, on earlier attempts of the client's own
    long deadline; // in nanoseconds on the clock of the events, like objectiveAt
    long objectiveAt; // end of the latency objective
    final List<AttemptState> attempts = new ArrayList<>(2);
    boolean probed; // load probes were sent, and no attempt since; written by LoadProbing
    int outstandingProbes;
    List<EndpointState> candidates = List.of(); // the probed endpoints
    double maxLoad; // of a candidate, as LoadProbing.evaluate sets it
    boolean allOverloaded; // so that it is rejected
    boolean bodyArriving;
    boolean bodyNotReplayable;
    boolean queued; // in TenantQuota; a request that left the queue otherwise is skipped there
    boolean streaming; // its response has started: no retry, no deadline
    boolean closed; // answered, or its client has disconnected

    RequestState(Request request, Settings settings, long elapsedBefore, double usualTime) {
        this.request = request;
        this.requestClass = settings.requestClasses().get(request.requestClass());
        this.maxAttempts = settings.capabilities().maxAttempts();
        this.elapsedBefore = elapsedBefore;
        double stretch = requestClass.objectiveStretch() * request.costHintNanos();
        this.objective = (long) Math.min(requestClass.latencyObjectiveNanos() + stretch, requestClass.deadlineNanos());
        this.expectedTime = Math.max(objective / 1000.0, usualTime); // bounded below for the timers
    }

    void startClock(long now) {
        deadline = now + request.timeLeftNanos();
        objectiveAt = now - elapsedBefore + Math.min(request.timeLeftNanos() + elapsedBefore, objective);
    }

    void stopClock() {
        deadline = Long.MAX_VALUE;
        objectiveAt = Long.MAX_VALUE;
    }

    long queueExpiresAt() {
        return objectiveAt - (long) (1.5 * Math.min(expectedTime, objective / 2.0)); // half sent later are late
    }

    boolean isOutstanding(int attempt) {
        return attempt >= 0 && attempt < attempts.size() && attempts.get(attempt).outstanding;
    }

    boolean hasOutstandingAttempt() {
        return isOutstanding(attempts.size() - 1); // there is never more than one
    }

    /** The first attempt that may have run, or null while every one is proven not to have. */
    AttemptState firstThatMayHaveRun() {
        return attempts.stream().filter(each -> each.mayHaveRun).findFirst().orElse(null);
    }

    private boolean isIdempotent() {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    private boolean hasKey() {
        return requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY;
    }

    boolean mayRetry(long now, long clockResolution) {
        boolean open = !closed && !streaming && now < deadline && attempts.size() < maxAttempts;
        AttemptState first = firstThatMayHaveRun();
        long sentBy = now + clockResolution; // at the end of this batch of events
        boolean keyHeld = first != null && hasKey() && sentBy < first.sentAt + requestClass.keyTtlNanos();
        boolean harmless = first == null || isIdempotent() || keyHeld;
        return open && harmless && !bodyNotReplayable && !hasOutstandingAttempt();
    }

    boolean mayUse(EndpointState endpoint) {
        AttemptState first = firstThatMayHaveRun();
        boolean inScope = first == null
                || !hasKey()
                || switch (requestClass.keyScope()) {
                    case ALL -> true;
                    case ZONE -> first.endpoint.info.zone() == endpoint.info.zone();
                    case CELL -> first.endpoint.info.cell() == endpoint.info.cell();
                };
        return inScope && attempts.stream().noneMatch(each -> each.endpoint == endpoint);
    }

    boolean isClientRetryHarmless() {
        boolean keyHeldByAll = hasKey() && requestClass.keyScope() == KeyScope.ALL;
        return isIdempotent() || keyHeldByAll || firstThatMayHaveRun() == null;
    }
}
