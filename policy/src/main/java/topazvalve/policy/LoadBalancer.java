package topazvalve.policy;

import java.util.List;

/**
 * The decisions of one sidecar's load balancer: what it is told (the methods), what it orders
 * ({@link Actions}) and what it is set to ({@link Settings}). {@link SidecarPolicy} implements it.
 *
 * <p><b>What the host owes.</b> One instance belongs to one sidecar and one thread. Every event carries the
 * time in nanoseconds on one clock that never runs back; its zero has no meaning. {@link #start} comes first,
 * then {@link #endpointsUpdated} with a {@link UpdateKind#CACHED} list. Request ids are never used twice. Every
 * {@link Actions#forward} is answered by exactly one {@link #attemptCompleted}, also after the request has ended, and
 * attempts are numbered 0, 1, 2, ... in the order of their sends. Timers fire at or after their time, never
 * inside the call that set them. A restart of the sidecar is a new instance with a new seed.
 *
 * <p><b>What the instance owes.</b> Actions are given during an event's call and take effect at that event's
 * time, in order. Each request gets one final answer: the first {@link Outcome#OK} (the host passes it on),
 * {@link Actions#reject} or {@link Actions#fail}, no later than its deadline plus
 * {@link Limits#answerSlackNanos()}. The same settings, seed and events give the same actions. Events about
 * requests, attempts or upstreams that the instance no longer holds are ignored.
 *
 * <p>Settings that make no sense are rejected with an {@link IllegalArgumentException} naming the setting.
 */
public interface LoadBalancer {

    /** How an attempt ended. */
    enum Outcome {
        /** Served; the first one finishes the request. */
        OK(false),
        /** The upstream answered with an error, perhaps after running the request. */
        ERROR(false),
        /** Turned away unseen: queue full or draining. */
        REJECTED(true),
        /** No answer in time; it may have run or may be running still. */
        TIMEOUT(false),
        /** No connection in time: down, unreachable, or its connection table is full. */
        CONNECT_FAILED(true),
        /** The connection broke while the attempt was out. */
        RESET(false),
        /** Withdrawn by this balancer. */
        CANCELLED(false),
        /** Never sent: the request had ended, or it had no attempt or time left. */
        NEVER_SENT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether this outcome proves that the attempt had no effect. */
        public boolean provesNeverRan() {
            return neverRan;
        }

        /** Whether this side gave it up, as where its client left: until then its upstream was not late. */
        boolean withdrawn() {
            return this == CANCELLED || this == NEVER_SENT;
        }
    }

    /** What a class of request allows after an attempt that may have run. */
    enum Idempotency {
        IDEMPOTENT,
        IDEMPOTENCY_KEY,
        NON_IDEMPOTENT
    }

    /** Which upstreams drop a repeat of a keyed request: all, those of one zone, those of one cell. */
    enum KeyScope {
        ALL,
        ZONE,
        CELL
    }

    /** State of an upstream in a list. */
    enum EndpointStatus {
        REMOVED,
        READY,
        DRAINING
    }

    /**
     * Kind of a list event: changes only, everything, the last list known before a start, or a failed
     * call.
     */
    enum UpdateKind {
        DELTA,
        FULL,
        CACHED,
        FAILED
    }

    /** Whether the list comes by itself or must be subscribed to. */
    enum DiscoveryMode {
        AUTOMATIC,
        SUBSCRIBE
    }

    /** What {@link EndpointInfo#weight()} holds; LIVE changes with the load, SILENT is always 1. */
    enum WeightKind {
        SILENT,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /**
     * A class of request; times in nanoseconds.
     *
     * @param latencyObjectiveNanos an answer within this time earns the full worth
     * @param objectiveStretch the aim grows by this many times the request's own work, up to the deadline
     * @param deadlineNanos the longest a client waits over all its tries
     * @param lateFraction part of the worth earned between aim and deadline
     * @param keyTtlNanos for BY_KEY: how long repeats are dropped, from the first send that may have run
     * @param streaming the response is streamed: {@link LoadBalancer#responseStarted} reports its start, and its
     *     attempt counts as in flight until its outcome
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
     * A tenant: its part of the service and the rate, over all sidecars, up to which its work has full
     * worth.
     */
    record Tenant(double quotaFraction, double quotaPerSecond) {
        public Tenant {
            require(quotaFraction >= 0 && quotaPerSecond >= 0, "tenant portion and quota");
        }
    }

    /**
     * What the host allows; a disallowed action is never asked for. {@link SidecarPolicy} makes no use of
     * peers or parallel tries so far.
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

    /** What the host is charged, as a part of all worth: for one probe a first try, for one full message. */
    record Costs(double healthCheck, double gossipMessage) {
        public Costs {
            require(healthCheck >= 0 && gossipMessage >= 0, "charges");
        }

        /** Nothing is charged for. */
        public static final Costs NONE = new Costs(0, 0);
    }

    /** The numbers behind the four rules; times in nanoseconds. */
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
     * What an instance is set to. {@link SidecarPolicy} makes no use of rank, zone, weights,
     * the unit of worth or the worth over share; hosts fill them in for modules that do.
     *
     * @param instanceIndex this sidecar's number among {@code replicas}
     * @param clockResolutionNanos shortest time between two events
     * @param loadReportFields names of the values in a load report
     * @param weightByWork worth counts per unit of work, not per request
     * @param overQuotaFraction what a request beyond its tenant's quota is worth, as a part of its class's worth
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

        /** The same settings with other classes. */
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
     * An upstream as the list shows it.
     *
     * @param id opaque and stable over restarts
     * @param startedAtNanos when it last started; 0 for long ago
     */
    record EndpointInfo(
            long id, int zone, int machineKind, int cell, EndpointStatus status, float weight, long startedAtNanos) {
        /** The same upstream, gone. */
        public EndpointInfo asRemoved() {
            return new EndpointInfo(id, zone, machineKind, cell, EndpointStatus.REMOVED, weight, startedAtNanos);
        }
    }

    /**
     * A client's request.
     *
     * @param timeLeftNanos until the client gives this try up
     * @param costHintNanos rough work to expect in nanoseconds; 0 where unknown
     * @param clientRetry the client marked it as a repeat
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

    /** What an instance orders. The host carries each out at the time of the event being handled. */
    interface Actions {
        /** Starts the request's next attempt; a time-out of 0 lasts until the client gives up. */
        void forward(long request, long endpoint, long timeoutNanos);

        /** Final answer: not done, a retry is harmless; {@code wait} 0 gives no guidance. */
        void reject(long request, long retryAfterNanos);

        /** Final answer: failed, with no promise about effects. */
        void fail(long request);

        /** Stops waiting for one attempt. */
        void cancelAttempt(long request, int attempt);

        /** Asks for {@link LoadBalancer#timerFired} with this token at or after a time. */
        void setTimer(long token, long atNanos);

        /** Probes an upstream. */
        void sendHealthCheck(long endpoint);

        /** Closes idle connections to an upstream. */
        void closeIdleConnections(long endpoint);

        /** Sends at most 256 bytes to a peer, or to every one if {@code peer} is {@link #ALL_PEERS}. */
        void sendGossip(int peer, byte[] message);

        /** Writes a line for operators. */
        void log(String line);

        /** Subscribes to list changes, or ends it; answered by one list event. */
        void watchEndpoints(boolean enabled);

        /** Asks for the whole list once; answered by one list event. */
        void fetchEndpoints();

        /** Every peer. */
        int ALL_PEERS = 0xffff;
    }

    /** The instance begins. */
    void start(long now);

    /** News of the list; {@code entries} is empty for {@link UpdateKind#FAILED}. */
    void endpointsUpdated(long now, UpdateKind kind, List<EndpointInfo> endpoints);

    /** A client's request has arrived. */
    void requestReceived(long now, Request request);

    /**
     * A client's request has arrived but for the end of its body, which is passed on as it comes. Its
     * client's time begins with {@link #requestBodyCompleted}.
     */
    void requestStarted(long now, Request request);

    /** The last byte of a request's body has come. */
    void requestBodyCompleted(long now, long request);

    /** A request's body is no longer held: after the attempt that has read it there can be no other. */
    void bodyNotReplayable(long now, long request);

    /** A streamed answer has begun: its attempt belongs to the client, its deadline no longer holds. */
    void responseStarted(long now, long request, int attempt, long endpoint, long elapsedNanos);

    /** An attempt has ended; {@code ended} says that the request has, by this outcome or before. */
    void attemptCompleted(
            long now,
            long request,
            int attempt,
            long endpoint,
            Outcome outcome,
            long elapsedNanos,
            boolean requestCompleted,
            float[] loadReport);

    /** The client has left. */
    void clientDisconnected(long now, long request);

    /** A timer is due. */
    void timerFired(long now, long token);

    /** A probe's result. */
    default void healthCheckCompleted(
            long now, long endpoint, Outcome outcome, long elapsedNanos, float[] loadReport) {}

    /**
     * New settings hold from now on. A class keeps its number and its effect for ever, and new ones come
     * behind; requests that are open keep the class and the try limit they came under. Tenants and the way of
     * discovery stay as they were at the start.
     */
    void settingsChanged(long now, Settings settings);

    /** How many ready upstreams are now avoided for what was seen of them. Changes nothing. */
    int ejectedCount(long now);

    /** A message from another sidecar of this tier. */
    default void gossipReceived(long now, int from, byte[] message) {}

    private static void require(boolean holds, String setting) {
        if (!holds) {
            throw new IllegalArgumentException("setting makes no sense: " + setting);
        }
    }
}
