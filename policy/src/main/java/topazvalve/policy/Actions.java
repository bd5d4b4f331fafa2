package topazvalve.policy;

/** Actions that an instance requests. The host carries out each at the time of the event that is being handled. */
public interface Actions {
    /** Sends the request's next attempt. A timeout of 0 nanoseconds means that it lasts until the client gives up. */
    void forward(long request, long endpoint, long timeoutNanos);

    /** Gives the final answer that the client may retry the request after this time; 0 sends no Retry-After. */
    void reject(long request, long retryAfterNanos, AnswerReason reason);

    /** Gives the final answer that the request failed and may have been executed. */
    void fail(long request, AnswerReason reason);

    /** Cancels an attempt; the host still reports its end. */
    void cancelAttempt(long request, int attempt);

    /** Sets a timer: the host calls {@link LoadBalancer#timerFired} with this token at or after the given time. */
    void setTimer(long token, long atNanos);

    /** Sends a health check; {@link LoadBalancer#healthCheckCompleted} reports the result. */
    void sendHealthCheck(long endpoint);

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(long endpoint);

    /** Sends a message of at most 256 bytes to another sidecar, or to all with {@link #ALL_PEERS}. */
    void sendGossip(int peer, byte[] message);

    /** Writes a line for operators. */
    void log(String line);

    /** Starts or ends the watch on the endpoint list; the host reports one endpoint update. */
    void watchEndpoints(boolean enabled);

    /** Requests a full snapshot of the endpoint list; the host reports one endpoint update. */
    void fetchEndpoints();

    /** Addresses a message to all other sidecars. */
    int ALL_PEERS = 0xffff;
}
