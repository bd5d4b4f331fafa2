package topazvalve.core.pool;

import java.net.InetSocketAddress;
import topazvalve.core.stream.RequestBody;
import topazvalve.policy.SettingsReader;

/** Carries attempts to servers. {@link ConnectionPools} is the one for sockets; tests play others. */
public interface Backend<Q, A> {
    /**
     * Sends an exchange as one attempt; {@code wait} in nanoseconds bounds it, unless the body is still to
     * end: then {@link Attempt#startTimeout} does. The listener is told of one end, perhaps within this call.
     */
    Attempt<Q, A> startAttempt(long server, Q message, RequestBody body, long wait, AttemptListener<Q, A> listener);

    /** Asks a server how it is. */
    void sendHealthCheck(long server, AttemptListener<Q, A> listener);

    /**
     * Takes over what the list says of a server. Once it is no longer ready, nothing not yet written goes
     * there: who waits for a connection is told that none came, idle connections are closed. So are those to
     * a process that has started anew since: a machine that vanished has not ended them, and what is written
     * to them would count as perhaps run.
     */
    void endpointUpdated(long server, InetSocketAddress address, long startedMs, boolean ready);

    /** Takes over that a server is in the list no more: what is still out there ends by itself. */
    void endpointRemoved(long server);

    /** How many servers are listed. */
    int endpointCount();

    /** Closes the idle connections to a server. */
    void closeIdleConnections(long server);

    /** Takes new settings over; connections that are open go on. */
    void settingsChanged(SettingsReader options);

    /** Closes all idle connections and keeps no more watch on them. */
    void close();
}
