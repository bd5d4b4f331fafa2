package topazvalve.policy;

import java.util.ArrayList;
import java.util.List;

/** One client request, from its arrival until its final answer and the end of its last attempt. */
final class RequestState {
    /** Part of the objective that the expected time is at least; timers at shorter intervals would stop the clock. */
    private static final double MIN_EXPECTED_TIME_DIVISOR = 1000.0;

    /** A queued request expires this many times its expected time before the end of its objective. */
    private static final double QUEUE_EXPIRY_FACTOR = 1.5;

    private static final double MAX_EXPECTED_TIME_DIVISOR = 2.0; // of the objective, for the expiry

    final Request request;
    final RequestClass requestClass;
    final int maxAttempts;
    final long objective; // latency objective in nanoseconds, stretched by the cost hint
    final double expectedTime; // expected response time in nanoseconds
    private final long elapsedBefore; // nanoseconds that the client spent on earlier attempts of its own
    long deadline; // in nanoseconds on the clock of the events, like objectiveAt
    long objectiveAt; // the end of the latency objective
    final List<AttemptState> attempts = new ArrayList<>(2);
    boolean probed; // load probes were sent, and no attempt since
    int outstandingProbes;
    List<EndpointState> candidates = List.of(); // the probed endpoints
    double maxLoad; // the load up to which a candidate may be picked; set by LoadProbing
    boolean allCandidatesOverloaded; // the request is then rejected; set by LoadProbing
    boolean bodyArriving;
    boolean bodyNotReplayable;
    boolean queued; // TenantQueues drops entries whose requests are no longer queued, such as expired ones
    boolean streaming; // its response has started: no retry, no deadline
    boolean closed; // answered, or its client has disconnected

    RequestState(Request request, Settings settings, long elapsedBefore, double estimatedTime) {
        this.request = request;
        this.requestClass = settings.requestClasses().get(request.requestClass());
        this.maxAttempts = settings.capabilities().maxAttempts();
        this.elapsedBefore = elapsedBefore;
        double stretch = requestClass.objectiveStretch() * request.costHintNanos();
        this.objective = (long) Math.min(requestClass.latencyObjectiveNanos() + stretch, requestClass.deadlineNanos());
        this.expectedTime = Math.max(objective / MIN_EXPECTED_TIME_DIVISOR, estimatedTime);
    }

    /** Counts the deadline and the latency objective from now on. */
    void startClock(long now) {
        deadline = now + request.timeLeftNanos();
        objectiveAt = now - elapsedBefore + Math.min(request.timeLeftNanos() + elapsedBefore, objective);
    }

    /** Suspends the deadline and the objective while the body of a forwarded request is still arriving. */
    void stopClock() {
        deadline = Long.MAX_VALUE;
        objectiveAt = Long.MAX_VALUE;
    }

    /** Returns when the request is no longer worth queuing: half of the requests that are sent later are late. */
    long queueExpiresAt() {
        double responseTime = Math.min(expectedTime, objective / MAX_EXPECTED_TIME_DIVISOR);
        return objectiveAt - (long) (QUEUE_EXPIRY_FACTOR * responseTime);
    }

    boolean isOutstanding(int attempt) {
        return attempt >= 0 && attempt < attempts.size() && attempts.get(attempt).outstanding;
    }

    boolean hasOutstandingAttempt() {
        return isOutstanding(attempts.size() - 1); // only the last attempt can be outstanding
    }

    /** Returns the first attempt that may have run, or null if it is proven for each that it did not. */
    AttemptState firstThatMayHaveRun() {
        return attempts.stream().filter(each -> each.mayHaveRun).findFirst().orElse(null);
    }

    private boolean isIdempotent() {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    private boolean hasKey() {
        return requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY;
    }

    /** Returns whether another attempt may be sent now: it is in time and can do no harm. */
    boolean mayRetry(long now, long clockResolution) {
        boolean open = !closed && !streaming && now < deadline && attempts.size() < maxAttempts;
        AttemptState first = firstThatMayHaveRun();
        long sentBy = now + clockResolution; // the attempt is sent by the end of this batch of events
        boolean keyValid = first != null && hasKey() && sentBy < first.sentAt + requestClass.keyTtlNanos();
        boolean harmless = first == null || isIdempotent() || keyValid;
        return open && harmless && !bodyNotReplayable && !hasOutstandingAttempt();
    }

    /** Returns whether a retry may use the endpoint: it has had no attempt and is in the scope of the key. */
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

    /** Returns whether a retry by the client is harmless, whichever endpoint it reaches. */
    boolean isClientRetryHarmless() {
        boolean keyKnownToAll = hasKey() && requestClass.keyScope() == KeyScope.ALL;
        return isIdempotent() || keyKnownToAll || firstThatMayHaveRun() == null;
    }
}
