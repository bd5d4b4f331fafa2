package topazvalve.tcp;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The settings of one listener for streams, as the operator's file gives them. {@link TcpFile} maps the file's
 * keys to these names and checks their ranges.
 *
 * @param name identifies the listener in log lines and metrics
 * @param listen the address at which clients connect
 * @param servers the addresses of the servers
 * @param draining the servers that get no new streams
 * @param connectTimeoutNanos for one attempt to connect, in nanoseconds
 * @param connectDeadlineNanos for all attempts of one stream together, in nanoseconds
 * @param maxAttempts how many servers may be tried for one stream, 1 to 4
 * @param idleTimeoutNanos a stream ends after so many nanoseconds without a byte in either direction; 0 for never
 * @param maxLifetimeNanos a stream ends so many nanoseconds after it opened; 0 for never
 * @param drainGraceNanos how many nanoseconds a stream may go on once its server or this process drains
 * @param maxStreams how many streams the listener may have
 * @param maxStreamsPerClient how many streams one client address may have
 * @param maxBufferedBytes how many bytes of one stream may be buffered in each direction
 * @param keepAlive whether TCP keep-alive is on, on both connections of a stream
 * @param rejectionMode how a client sees that its stream is rejected
 * @param expectProxyHeader whether each client's connection has to begin with a PROXY header
 * @param sentProxyHeaderVersion the version of the PROXY header that servers get; 0 for none
 */
public record TcpSettings(
        String name,
        InetSocketAddress listen,
        List<InetSocketAddress> servers,
        List<InetSocketAddress> draining,
        long connectTimeoutNanos,
        long connectDeadlineNanos,
        int maxAttempts,
        long idleTimeoutNanos,
        long maxLifetimeNanos,
        long drainGraceNanos,
        int maxStreams,
        int maxStreamsPerClient,
        int maxBufferedBytes,
        boolean keepAlive,
        RejectionMode rejectionMode,
        boolean expectProxyHeader,
        int sentProxyHeaderVersion) {

    /** How a client sees that its stream is rejected. The names are values of the file's key {@code refusal}. */
    public enum RejectionMode {
        /** Its connection is reset. */
        RESET,
        /** Its connection is closed in order. */
        CLOSE
    }

    /** Copies the lists. */
    public TcpSettings {
        servers = List.copyOf(servers);
        draining = List.copyOf(draining);
    }
}
