package topazvalve.hollowfleet.run;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Loopback addresses of a run. Every listener has an address of its own, so that there are enough ports. */
final class LoopbackAddresses {
    private static final int FIRST_BYTE = 127;
    /** The second byte of relays' addresses, above those of all sources. */
    private static final int RELAY_NETWORK = 100;

    private static final int ANY_PORT = 0;

    private LoopbackAddresses() {}

    /** Returns the address, without a port, at which a source listens for the clients of a zone. */
    static InetSocketAddress ofSource(int source, int zone) {
        return address(1 + source, zone);
    }

    /** Returns the address, without a port, at which a relay listens. */
    static InetSocketAddress ofRelay(int relay) {
        return address(RELAY_NETWORK, relay);
    }

    private static InetSocketAddress address(int network, int host) {
        byte[] bytes = {(byte) FIRST_BYTE, (byte) network, (byte) (host >> 8), (byte) (1 + host)};
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes), ANY_PORT);
        } catch (UnknownHostException e) {
            throw new AssertionError("four bytes are an address", e);
        }
    }
}
