package topazvalve.core.net;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Parses network addresses. */
public final class Addresses {
    private static final int MAX_PORT = 0xffff;

    private Addresses() {}

    /**
     * Parses a numeric IP address and a port, such as {@code 127.0.0.1:80}; host names are not resolved.
     *
     * @return null if {@code text} is not a valid numeric address and port
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        InetAddress host = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        if (host == null) {
            return null;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port < 0 || port > MAX_PORT ? null : new InetSocketAddress(host, port);
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
