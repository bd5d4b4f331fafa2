package topazvalve.policy;

import java.util.List;

/**
 * The load-balancing decisions of one sidecar. The host reports events by calling the methods, the instance responds
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
 * time, in order. Each request gets one final answer: its first {@link Outcome#OK}, which the host forwards,
 * {@link Actions#reject} or {@link Actions#fail}, no later than its deadline plus {@link Limits#answerSlackNanos()}.
 * The same settings, seed and events produce the same actions. Events about requests, attempts or endpoints that the
 * instance does not know are ignored.
 *
 * <p>The constructors of the settings records throw an {@link InvalidSettingException} that names the setting if a
 * value is out of bounds.
 */
public interface LoadBalancer {

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
     * Handles a request whose body is still arriving and is forwarded as it arrives. The deadline and the latency
     * objective are counted from {@link #requestBodyCompleted}.
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

    /** Handles the end of an attempt, with the load report that came with its response. */
    void attemptCompleted(long now, AttemptResult result, float[] loadReport);

    /** Handles the client's disconnection; the request gets no answer. */
    void clientDisconnected(long now, long request);

    /**
     * Handles that the host did nothing for this long, until now: what it has not read or answered meanwhile is not the
     * fault of an endpoint. Called before the events that follow from what it reads next.
     */
    default void hostStalled(long now, long nanos) {}

    /** Handles a timer that has fired. */
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
}
