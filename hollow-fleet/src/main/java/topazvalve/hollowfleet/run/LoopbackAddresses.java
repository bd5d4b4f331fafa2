package topazvalve.hollowfleet.run;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Loopback addresses of a run. Each listener has its own address, so that there are enough ports. */
final class LoopbackAddresses {
    private static final int LOOPBACK_NETWORK = 127;
    /** The second byte of the relays' addresses, which is above those of all sources. */
    private static final int RELAY_NETWORK = 100;

    private static final int ANY_PORT = 0;

    private LoopbackAddresses() {}

    /** Returns the address, without a port, on which a source listens for the clients of a zone. */
    static InetSocketAddress ofSource(int source, int zone) {
        return address(1 + source, zone);
    }

    /** Returns the address, without a port, on which a relay listens. */
    static InetSocketAddress ofRelay(int relay) {
        return address(RELAY_NETWORK, relay);
    }

    private static InetSocketAddress address(int network, int host) {
        byte[] bytes = {(byte) LOOPBACK_NETWORK, (byte) network, (byte) (host >> 8), (byte) (1 + host)};
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes), ANY_PORT);
        } catch (UnknownHostException e) {
            throw new AssertionError("a four-byte address is always valid", e);
        }
    }
}
