package topazvalve.simulation.virtual;

import topazvalve.policy.Request;
import topazvalve.simulation.oracle.Oracle.Answer;
import topazvalve.simulation.oracle.Trace;

/** A request that a client has sent to an instance, and the state of its attempts. */
final class VirtualRequest {
    /** Receives the response to a request. */
    interface ResponseListener {
        /**
         * The client has received the response.
         *
         * @param retryAfterNanos the Retry-After of the response; 0 for none
         */
        void responseReceived(VirtualRequest request, Answer answer, long retryAfterNanos);
    }

    private static final int NO_TENANT = 0;
    private static final long UNKNOWN_COST = 0;

    /** The value of {@link #expiryTimer} if there is no timer. */
    static final long NO_TIMER = -1;

    final long id;
    final int instance;
    final Trace trace;
    final int requestClass;
    final long key;
    final double work;
    final long deadline;
    final boolean isRetry;
    final ResponseListener listener;
    /** When the first try was sent; the start of the latency. */
    final long firstSentAt;

    /** The attempts, indexed by their numbers; null for those that were never sent. */
    final VirtualAttempt[] attempts;

    int attemptCount;
    int attemptsInFlight;
    /** Whether the client has a response or has disconnected. */
    boolean finished;

    long expiryTimer = NO_TIMER;

    /**
     * Creates a request that has not been sent yet.
     *
     * @param instance the number of the instance
     * @param requestClass the index of its class in the scenario
     * @param work its work in nanoseconds of a standard core
     * @param deadline when the client stops waiting, in nanoseconds of the clock
     * @param maxAttempts the largest number of attempts that it can hold
     */
    VirtualRequest(
            long id,
            int instance,
            Trace trace,
            int requestClass,
            long key,
            double work,
            long deadline,
            boolean isRetry,
            long firstSentAt,
            int maxAttempts,
            ResponseListener listener) {
        this.id = id;
        this.instance = instance;
        this.trace = trace;
        this.requestClass = requestClass;
        this.key = key;
        this.work = work;
        this.deadline = deadline;
        this.isRetry = isRetry;
        this.firstSentAt = firstSentAt;
        this.attempts = new VirtualAttempt[maxAttempts];
        this.listener = listener;
    }

    /** Returns the request as the load balancer sees it: without a tenant, of unknown cost, and as a write. */
    Request toPolicyRequest(long now) {
        return new Request(id, requestClass, NO_TENANT, key, deadline - now, UNKNOWN_COST, isRetry, true);
    }
}
