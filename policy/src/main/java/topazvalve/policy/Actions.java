package topazvalve.policy;

/** Actions of an instance. The host carries out each at the time of the event that is being handled. */
public interface Actions {
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
