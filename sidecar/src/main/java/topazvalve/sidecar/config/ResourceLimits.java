package topazvalve.sidecar.config;

import topazvalve.discovery.json.JsonNode;

/**
 * What the process may use, and how it is shared out among clients, servers and message bodies.
 *
 * @param sockets descriptors that the process may hold, at least 64
 * @param memoryMegabytes memory that the process may use, in units of 2^20 bytes
 * @param adminSockets descriptors set aside for the admin endpoint; 0 where there is none
 */
public record ResourceLimits(int sockets, long memoryMegabytes, int adminSockets) {
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int MIN_SOCKETS = 64;
    /** Descriptors for the JVM itself, listening sockets and discovery. */
    private static final int RESERVED_SOCKETS = 40;

    private static final long DEFAULT_MEMORY_MEGABYTES = 96;
    private static final long BYTES_PER_MEGABYTE = 1 << 20;
    /** The JVM and the free part of its heap need most of the memory. */
    private static final int BODY_MEMORY_DIVISOR = 12;

    /**
     * Reads the number of descriptors.
     *
     * @throws InvalidConfigException if there are too few to work with
     */
    static int readSockets(JsonNode limits) {
        int sockets = (int) limits.path("sockets").asLong(DEFAULT_SOCKETS);
        if (sockets < MIN_SOCKETS) {
            throw new InvalidConfigException("too few", "limits.sockets");
        }
        return sockets;
    }

    /** Reads the memory in megabytes. */
    static long readMemoryMegabytes(JsonNode limits) {
        return limits.path("memory_mb").asLong(DEFAULT_MEMORY_MEGABYTES);
    }

    /** Descriptors for clients: those of {@link #maxClients}, and spare ones for connections just coming or going. */
    public int clientDescriptors() {
        return sockets * 3 / 8;
    }

    /** Client connections above which idle ones are evicted. */
    public int maxClients() {
        return sockets / 3;
    }

    /** Connections to servers: what clients, the admin endpoint and the process itself leave over. */
    public int maxUpstreamConnections() {
        return Math.max(sockets / 4, sockets - clientDescriptors() - RESERVED_SOCKETS - adminSockets);
    }

    /** Requests that may be in progress at once. */
    public int maxActiveRequests() {
        return sockets / 2;
    }

    /** Memory in bytes that message bodies may take together. */
    public long bodyBytes() {
        return memoryMegabytes * BYTES_PER_MEGABYTE / BODY_MEMORY_DIVISOR;
    }
}
