package topazvalve.sidecar.config;

import topazvalve.discovery.json.JsonNode;

/**
 * The resources that the process may use, and their division among clients, servers and message bodies.
 *
 * @param sockets maximum number of file descriptors of the process, at least 64
 * @param memoryMegabytes memory that the process may use, in units of 2^20 bytes
 * @param adminSockets file descriptors reserved for the admin endpoint; 0 if there is none
 * @param cores processor cores that the process may use, above 0
 */
public record ResourceLimits(int sockets, long memoryMegabytes, int adminSockets, double cores) {
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int MIN_SOCKETS = 64;
    /** File descriptors for the JVM itself, listening sockets and discovery. */
    private static final int RESERVED_SOCKETS = 40;

    private static final double DEFAULT_CORES = 1;
    private static final long DEFAULT_MEMORY_MEGABYTES = 96;
    private static final long BYTES_PER_MEGABYTE = 1 << 20;
    /** Divides the memory for message bodies: the JVM and the free part of its heap need most of it. */
    private static final int BODY_MEMORY_DIVISOR = 12;

    /**
     * Reads the maximum number of file descriptors.
     *
     * @throws InvalidConfigException if it is less than 64
     */
    static int readSockets(JsonNode limits) {
        int sockets = (int) limits.path("sockets").asLong(DEFAULT_SOCKETS);
        if (sockets < MIN_SOCKETS) {
            throw new InvalidConfigException("less than " + MIN_SOCKETS, "limits.sockets");
        }
        return sockets;
    }

    /**
     * Reads the number of processor cores.
     *
     * @throws InvalidConfigException if it is not above 0
     */
    static double readCores(JsonNode limits) {
        double cores = limits.path("cores").asDouble(DEFAULT_CORES);
        if (cores <= 0) {
            throw new InvalidConfigException("not a positive number", "limits.cores");
        }
        return cores;
    }

    /** Reads the memory limit in megabytes. */
    static long readMemoryMegabytes(JsonNode limits) {
        return limits.path("memory_mb").asLong(DEFAULT_MEMORY_MEGABYTES);
    }

    /** File descriptors for clients: {@link #maxClients}, and spare ones for connections being opened or closed. */
    public int clientDescriptors() {
        return sockets * 3 / 8;
    }

    /** Number of client connections above which idle ones are evicted. */
    public int maxClients() {
        return sockets / 3;
    }

    /** Maximum number of connections to servers: what clients, the admin endpoint and the process itself leave. */
    public int maxUpstreamConnections() {
        return Math.max(sockets / 4, sockets - clientDescriptors() - RESERVED_SOCKETS - adminSockets);
    }

    /** Maximum number of requests in progress at the same time. */
    public int maxActiveRequests() {
        return sockets / 2;
    }

    /** Memory in bytes for all message bodies together. */
    public long bodyBytes() {
        return memoryMegabytes * BYTES_PER_MEGABYTE / BODY_MEMORY_DIVISOR;
    }
}
