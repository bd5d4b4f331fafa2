package topazvalve.tcp;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * One listener for streams, as the operator's file sets it. Times are in nanoseconds; 0 is no limit where a
 * limit may be left out.
 *
 * @param connectTimeout for one attempt to connect
 * @param connectDeadline for all attempts of one stream together
 * @param attempts how many servers may be tried, 1 to 4
 * @param idle after so long without a byte in either direction a stream is ended; 0 for never
 * @param total after so long a stream is ended; 0 for never
 * @param grace how long a stream may run on once its server drains or this process ends
 * @param buffer the bytes of one stream that may be held, in each direction
 * @param proxyIn whether each client's connection begins with a PROXY header
 * @param proxyOut the version of the PROXY header that servers get; 0 for none
 */
public record TcpSettings(
        String name,
        InetSocketAddress listen,
        List<InetSocketAddress> servers,
        List<InetSocketAddress> draining,
        long connectTimeout,
        long connectDeadline,
        int attempts,
        long idle,
        long total,
        long grace,
        int mostStreams,
        int mostPerClient,
        int buffer,
        boolean keepAlive,
        Refusal refusal,
        boolean proxyIn,
        int proxyOut) {

    /** How a client sees that its stream is not taken. */
    public enum Refusal {
        RESET,
        CLOSE
    }

    public TcpSettings {
        servers = List.copyOf(servers);
        draining = List.copyOf(draining);
    }
}
