package topazvalve.tcp;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The settings of one listener for streams, from the operator's file. {@link TcpFile} maps the file's
 * keys to these names and checks their ranges.
 *
 * @param name identifies the listener in log lines and metrics
 * @param listen the address that clients connect to
 * @param servers the addresses of the servers
 * @param draining the servers that get no new streams
 * @param connectTimeoutNanos the timeout of one connect attempt, in nanoseconds
 * @param connectDeadlineNanos the timeout of all connect attempts of one stream together, in nanoseconds
 * @param maxAttempts the maximum number of servers that are tried for one stream, 1 to 4
 * @param idleTimeoutNanos the time without bytes in either direction after which a stream ends, in nanoseconds; 0
 *     for none
 * @param maxLifetimeNanos the time after its opening at which a stream ends, in nanoseconds; 0 for none
 * @param drainGraceNanos the time that a stream may continue while its server or this process is draining, in
 *     nanoseconds
 * @param maxStreams the maximum number of streams of the listener
 * @param maxStreamsPerClient the maximum number of streams of one client address
 * @param maxBufferedBytes the maximum number of buffered bytes in each direction of a stream
 * @param keepAlive whether TCP keep-alive is enabled on both connections of a stream
 * @param rejectionMode how the connections of rejected clients are closed
 * @param expectProxyHeader whether each client connection must begin with a PROXY header
 * @param sentProxyHeaderVersion the version of the PROXY header that is sent to servers; 0 for none
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

    /** How the connection of a rejected client is closed. The names are values of the file's key {@code refusal}. */
    public enum RejectionMode {
        /** By a RST. */
        RESET,
        /** By a FIN. */
        CLOSE
    }

    /** Copies the lists. */
    public TcpSettings {
        servers = List.copyOf(servers);
        draining = List.copyOf(draining);
    }
}
