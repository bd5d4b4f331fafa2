package topazvalve.simulator;

/**
 * Packs an endpoint's IPv4 address and port, which are two fields on the wire, into the opaque number that identifies
 * the endpoint to the load balancer.
 */
final class EndpointIds {
    /** The length of both fields together on the wire. */
    static final int WIRE_BYTES = Integer.BYTES + Short.BYTES;

    private static final int PORT_BITS = Short.SIZE;

    private EndpointIds() {}

    /** Returns an endpoint's id; {@code address} has 32 bits and {@code port} 16, both unsigned. */
    static long pack(long address, int port) {
        return address << PORT_BITS | port;
    }

    /** Returns the 32 bits of an endpoint's address. */
    static int address(long endpointId) {
        return (int) (endpointId >>> PORT_BITS);
    }

    /** Returns the 16 bits of an endpoint's port. */
    static short port(long endpointId) {
        return (short) endpointId;
    }
}
