package topazvalve.core.pool;

import java.net.InetSocketAddress;
import topazvalve.core.stream.RequestBody;
import topazvalve.decisions.Options;

/** Carries attempts to servers. {@link Pools} is the one for sockets; tests play others. */
public interface Back<Q, A> {
    /**
     * Sends an exchange as one attempt; {@code wait} in nanoseconds bounds it, unless the body is still to
     * end: then {@link Attempt#limit} does. The listener is told of one end, perhaps within this call.
     */
    Attempt<Q, A> send(long server, Q message, RequestBody body, long wait, AttemptListener<Q, A> listener);

    /** Asks a server how it is. */
    void probe(long server, AttemptListener<Q, A> listener);

    /**
     * Takes over what the list says of a server. Once it is no longer ready, nothing not yet written goes
     * there: who waits for a connection is told that none came, idle connections are closed. So are those to
     * a process that has started anew since: a machine that vanished has not ended them, and what is written
     * to them would count as perhaps run.
     */
    void listed(long server, InetSocketAddress address, long startedMs, boolean ready);

    /** Takes over that a server is in the list no more: what is still out there ends by itself. */
    void gone(long server);

    /** How many servers are listed. */
    int listed();

    /** Closes the idle connections to a server. */
    void closeIdle(long server);

    /** Takes new settings over; connections that are open go on. */
    void retune(Options options);

    /** Closes all idle connections and keeps no more watch on them. */
    void close();
}
