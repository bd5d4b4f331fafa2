package topazvalve.policy;

import java.util.List;

/**
 * The load-balancing decisions of one sidecar: the host reports events by calling the methods, the instance answers
 * with {@link Actions}, and {@link Settings} configure it. {@link SidecarPolicy} implements the interface.
 *
 * <p><b>Duties of the host.</b> One instance belongs to one sidecar and is called by one thread. Every event carries
 * the time in nanoseconds on a clock that never runs backwards; its origin has no meaning. {@link #start} is called
 * first, then {@link #endpointsUpdated} with a {@link UpdateKind#CACHED} list. Request ids are never reused. Every
 * {@link Actions#forward} is answered by exactly one {@link #attemptCompleted}, even after the request has ended, and
 * attempts are numbered 0, 1, 2, ... in the order in which they were sent. A timer fires at or after its time, never
 * inside the call that set it. After a restart of the sidecar, the host creates a new instance with a new seed.
 *
 * <p><b>Duties of the instance.</b> Actions are requested during an event's call and take effect at that event's
 * time, in order. Each request gets one final answer: its first {@link Outcome#OK}, which the host passes on,
 * {@link Actions#reject} or {@link Actions#fail}, no later than its deadline plus {@link Limits#answerSlackNanos()}.
 * The same settings, seed and events produce the same actions. Events about requests, attempts or endpoints that the
 * instance does not know are ignored.
 *
 * <p>The constructors of the settings records throw an {@link InvalidSettingException} that names the setting if a
 * value is out of bounds.
 */
public interface LoadBalancer {

    /** How an attempt ended. */
    enum Outcome {
        /** The server answered; the first such outcome completes the request. */
        OK(false),
        /** The server answered with an error; it may have run the request. */
        ERROR(false),
        /** The server rejected the request without running it: its queue is full, or it is draining. */
        REJECTED(true),
        /** No answer arrived in time; the request may have run, or may still be running. */
        TIMEOUT(false),
        /** No connection was established in time. */
        CONNECT_FAILED(true),
        /** The connection broke while the attempt was outstanding. */
        RESET(false),
        /** The attempt was cancelled by {@link Actions#cancelAttempt}. */
        CANCELLED(false),
        /** The attempt was never sent: the request had ended, or had no attempt or time left. */
        NEVER_SENT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Returns whether this outcome proves that the server did not run the request. */
        public boolean provesNeverRan() {
            return neverRan;
        }

        /** Returns whether this sidecar gave the attempt up, for example because its client disconnected. */
        boolean withdrawn() {
            return this == CANCELLED || this == NEVER_SENT;
        }
    }

    /** Whether a request may be sent again after an attempt that may have run: always, with its key, or never. */
    enum Idempotency {
        IDEMPOTENT,
        IDEMPOTENCY_KEY,
        NON_IDEMPOTENT
    }

    /** Which endpoints recognize a repeated idempotency key: all, those of the same zone, or those of the same cell. */
    enum KeyScope {
        ALL,
        ZONE,
        CELL
    }

    /** State of an endpoint in an endpoint list. */
    enum EndpointStatus {
        REMOVED,
        READY,
        DRAINING
    }

    /**
     * Kind of an endpoint update: changes only, a full snapshot, the last list known before a start, or a failed call
     * to discovery.
     */
    enum UpdateKind {
        DELTA,
        FULL,
        CACHED,
        FAILED
    }

    /** Whether endpoint updates arrive unasked, or only after {@link Actions#watchEndpoints}. */
    enum DiscoveryMode {
        AUTOMATIC,
        SUBSCRIBE
    }

    /** What {@link EndpointInfo#weight()} contains: LIVE follows the load, SILENT is always 1. */
    enum WeightKind {
        SILENT,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /**
     * A class of requests. Times are in nanoseconds.
     *
     * @param latencyObjectiveNanos an answer within this time earns the full priority weight; above 0
     * @param objectiveStretch the objective grows by this many times the request's cost hint, up to the deadline
     * @param deadlineNanos the longest that a client waits over all its own attempts; at least the objective
     * @param priorityWeight what an answer within the objective is worth; finite, 0 or more
     * @param lateFraction the fraction of the weight that an answer between objective and deadline earns
     * @param keyScope for idempotency keys: which endpoints recognize a repeated key
     * @param keyTtlNanos for idempotency keys: how long a key is recognized, from the first attempt that may have run;
     *     0 or more
     * @param streaming whether responses are streamed: {@link LoadBalancer#responseStarted} reports the start, and the
     *     attempt counts as an open stream until its outcome
     */
    record RequestClass(
            long latencyObjectiveNanos,
            double objectiveStretch,
            long deadlineNanos,
            double priorityWeight,
            double lateFraction,
            Idempotency idempotency,
            KeyScope keyScope,
            long keyTtlNanos,
            boolean streaming) {
        public RequestClass {
            require(latencyObjectiveNanos > 0, "class aim");
            require(deadlineNanos >= latencyObjectiveNanos, "class deadline");
            require(priorityWeight >= 0 && Double.isFinite(priorityWeight), "class worth");
            require(
                    idempotency != Idempotency.IDEMPOTENCY_KEY || (keyTtlNanos >= 0 && keyScope != null),
                    "class key scope and ttl");
        }
    }

    /**
     * A tenant.
     *
     * @param quotaFraction its fraction of the service; 0 or more
     * @param quotaPerSecond the rate over all sidecars up to which its requests have their full weight; 0 or more
     */
    record Tenant(double quotaFraction, double quotaPerSecond) {
        public Tenant {
            require(quotaFraction >= 0 && quotaPerSecond >= 0, "tenant portion and quota");
        }
    }

    /**
     * Actions that the host allows; the instance never requests another. {@link SidecarPolicy} does not use gossip and
     * hedging.
     *
     * @param maxAttempts the most attempts of one request; at least 1
     * @param maxRetryAfterNanos the longest Retry-After that {@link Actions#reject} may give; 0 or more
     * @param connectTimeoutNanos how long the host waits for a connection; 0 or more
     */
    record Capabilities(
            boolean cancellation,
            boolean healthChecks,
            boolean gossip,
            boolean hedging,
            boolean retryAfter,
            int maxAttempts,
            long maxRetryAfterNanos,
            long connectTimeoutNanos) {
        public Capabilities {
            require(maxAttempts >= 1, "try limit");
            require(maxRetryAfterNanos >= 0 && connectTimeoutNanos >= 0, "retry-after and connect time-out");
        }
    }

    /**
     * Costs of an action, as a fraction of the total priority weight.
     *
     * @param healthCheck the cost of one health check per first attempt; 0 or more
     * @param gossipMessage the cost of one message of full size; 0 or more
     */
    record Costs(double healthCheck, double gossipMessage) {
        public Costs {
            require(healthCheck >= 0 && gossipMessage >= 0, "charges");
        }

        /** All actions are free. */
        public static final Costs NONE = new Costs(0, 0);
    }

    /**
     * Limits that the policy keeps to. Times are in nanoseconds, 0 or more.
     *
     * @param answerSlackNanos how long after its deadline a request may be answered
     * @param pollIntervalNanos within this time the watch on the endpoint list is renewed
     * @param drainGraceNanos how long after a change of the list an endpoint that is no longer ready may get requests
     * @param coldCapacityFraction the fraction of its capacity that a started endpoint has at first; above 0, at most 1
     * @param slowStartNanos the time from an endpoint's start until it has its full capacity
     * @param overloadFactor a warming endpoint fails at this many times its capacity; at least 1
     * @param overloadWindowNanos the time over which that load is measured
     */
    record Limits(
            long answerSlackNanos,
            long pollIntervalNanos,
            long drainGraceNanos,
            double coldCapacityFraction,
            long slowStartNanos,
            double overloadFactor,
            long overloadWindowNanos) {
        public Limits {
            require(answerSlackNanos >= 0 && pollIntervalNanos >= 0 && drainGraceNanos >= 0, "rule times");
            require(coldCapacityFraction > 0 && coldCapacityFraction <= 1, "cold share");
            require(slowStartNanos >= 0 && overloadWindowNanos >= 0, "ramp and tip times");
            require(overloadFactor >= 1, "overload factor");
        }
    }

    /**
     * Settings of an instance. {@link SidecarPolicy} does not use the instance index, the zone, the kind of weights and
     * the fraction over quota; hosts fill them in for other implementations.
     *
     * @param instanceIndex this sidecar's number among the instances; 0 or more
     * @param instanceCount the number of sidecars that share the endpoints; at least 1
     * @param clockResolutionNanos the shortest time between two events; 0 or more
     * @param requestClasses at least one class; a request names its class by the index
     * @param loadReportFields names of the values in a load report, in order
     * @param weightByWork whether priority weights count per unit of work, not per request
     * @param overQuotaFraction the fraction of its weight that a request beyond its tenant's quota has; from 0 to 1
     */
    record Settings(
            int instanceIndex,
            int instanceCount,
            int zone,
            long clockResolutionNanos,
            DiscoveryMode discoveryMode,
            WeightKind weightKind,
            List<RequestClass> requestClasses,
            List<Tenant> tenants,
            Capabilities capabilities,
            Limits limits,
            List<String> loadReportFields,
            Costs costs,
            boolean weightByWork,
            double overQuotaFraction) {
        public Settings {
            require(instanceCount >= 1 && instanceIndex >= 0, "rank and replicas");
            require(clockResolutionNanos >= 0, "quantum");
            require(!requestClasses.isEmpty(), "classes");
            require(overQuotaFraction >= 0 && overQuotaFraction <= 1, "over-share worth");
            requestClasses = List.copyOf(requestClasses);
            tenants = List.copyOf(tenants);
            loadReportFields = List.copyOf(loadReportFields);
        }

        /** Returns these settings with other request classes. */
        public Settings withRequestClasses(List<RequestClass> replacements) {
            return new Settings(
                    instanceIndex,
                    instanceCount,
                    zone,
                    clockResolutionNanos,
                    discoveryMode,
                    weightKind,
                    replacements,
                    tenants,
                    capabilities,
                    limits,
                    loadReportFields,
                    costs,
                    weightByWork,
                    overQuotaFraction);
        }
    }

    /**
     * An endpoint as discovery lists it.
     *
     * @param id an opaque number that stays the same over restarts
     * @param startedAtNanos the time of the last start on the events' clock; 0 for long ago
     */
    record EndpointInfo(
            long id, int zone, int machineKind, int cell, EndpointStatus status, float weight, long startedAtNanos) {
        /** Returns the same endpoint with status {@link EndpointStatus#REMOVED}. */
        public EndpointInfo asRemoved() {
            return new EndpointInfo(id, zone, machineKind, cell, EndpointStatus.REMOVED, weight, startedAtNanos);
        }
    }

    /**
     * A client's request.
     *
     * @param id unique for the lifetime of the instance
     * @param requestClass the index of its class in {@link Settings#requestClasses()}
     * @param timeLeftNanos the time until the client gives up
     * @param costHintNanos the expected work in nanoseconds; 0 if unknown
     * @param clientRetry whether the client marked the request as a retry
     */
    record Request(
            long id,
            int requestClass,
            int tenant,
            long resourceKey,
            long timeLeftNanos,
            long costHintNanos,
            boolean clientRetry,
            boolean write) {}

    /** Actions of an instance. The host carries out each at the time of the event that is being handled. */
    interface Actions {
        /** Sends the request's next attempt; with a timeout of 0 nanoseconds it lasts until the client gives up. */
        void forward(long request, long endpoint, long timeoutNanos);

        /** Gives the final answer that the request may be retried, after the given nanoseconds; 0 gives no guidance. */
        void reject(long request, long retryAfterNanos);

        /** Gives the final answer that the request failed and may have run. */
        void fail(long request);

        /** Stops waiting for an attempt. */
        void cancelAttempt(long request, int attempt);

        /** Requests {@link LoadBalancer#timerFired} with this token at or after the given time. */
        void setTimer(long token, long atNanos);

        /** Sends a health check; {@link LoadBalancer#healthCheckCompleted} reports the result. */
        void sendHealthCheck(long endpoint);

        /** Closes the idle connections to an endpoint. */
        void closeIdleConnections(long endpoint);

        /** Sends a message of at most 256 bytes to another sidecar, or to all with {@link #ALL_PEERS}. */
        void sendGossip(int peer, byte[] message);

        /** Writes a line for operators. */
        void log(String line);

        /** Starts or ends the watch on the endpoint list; one endpoint update follows. */
        void watchEndpoints(boolean enabled);

        /** Requests a full snapshot of the endpoint list; one endpoint update follows. */
        void fetchEndpoints();

        /** All other sidecars. */
        int ALL_PEERS = 0xffff;
    }

    /** Starts the instance. */
    void start(long now);

    /** Handles an endpoint update; {@code endpoints} is empty for {@link UpdateKind#FAILED}. */
    void endpointsUpdated(long now, UpdateKind kind, List<EndpointInfo> endpoints);

    /**
     * Handles a complete request.
     *
     * @throws UnknownRequestClassException if the settings have no such class
     */
    void requestReceived(long now, Request request);

    /**
     * Handles a request whose body is still arriving and is passed on as it arrives. The client's time starts with
     * {@link #requestBodyCompleted}.
     *
     * @throws UnknownRequestClassException if the settings have no such class
     */
    void requestStarted(long now, Request request);

    /** Handles the arrival of the last byte of a request's body. */
    void requestBodyCompleted(long now, long request);

    /** Reports that a request's body is no longer replayable, so that no further attempt can be sent. */
    void bodyNotReplayable(long now, long request);

    /** Reports that a streamed response has started; the request's deadline no longer applies. */
    void responseStarted(long now, long request, int attempt, long endpoint, long elapsedNanos);

    /** Handles the end of an attempt; {@code requestCompleted} if the request has ended, now or before. */
    void attemptCompleted(
            long now,
            long request,
            int attempt,
            long endpoint,
            Outcome outcome,
            long elapsedNanos,
            boolean requestCompleted,
            float[] loadReport);

    /** Handles the client's disconnection; the request gets no answer. */
    void clientDisconnected(long now, long request);

    /** Handles a timer that is due. */
    void timerFired(long now, long token);

    /** Handles the result of a health check. */
    default void healthCheckCompleted(
            long now, long endpoint, Outcome outcome, long elapsedNanos, float[] loadReport) {}

    /**
     * Applies new settings from now on. A class keeps its index and idempotency, and new classes are appended; open
     * requests keep the class and the number of attempts with which they arrived. Tenants and the discovery mode stay
     * as they were at the start.
     */
    void settingsChanged(long now, Settings settings);

    /** Returns the number of ready endpoints that are ejected for every class now; has no side effect. */
    int ejectedCount(long now);

    /** Handles a message from another sidecar. */
    default void gossipReceived(long now, int from, byte[] message) {}

    private static void require(boolean holds, String setting) {
        if (!holds) {
            throw new InvalidSettingException(setting, "setting makes no sense: " + setting);
        }
    }
}
