package topazvalve.simulation.stream;

import java.util.Random;

/**
 * The plan of a stream, drawn from a seed and the stream's number.
 *
 * @param up the number of bytes from the client, including the number of the stream
 * @param down the number of bytes from the server
 * @param order which end closes its half first
 * @param pauseMs the longest pause between two writes in milliseconds
 * @param fault the planned fault
 * @param faultAt how many bytes the faulty end sends, or receives in case of a stall, before the fault
 */
record StreamPlan(long up, long down, EndOrder order, int pauseMs, Fault fault, long faultAt) {
    /** Which end closes its half first; with {@code INDEPENDENT} each end closes as soon as it has sent everything. */
    enum EndOrder {
        CLIENT_FIRST,
        SERVER_FIRST,
        INDEPENDENT
    }

    private static final int MAX_PAUSE_MILLIS = 20;
    /** One stream in this many has pauses. */
    private static final int STREAMS_PER_PAUSING_STREAM = 4;
    /** Streams among which each kind of fault is expected once. */
    private static final int STREAMS_PER_FAULT = 25;

    /** Planned faults. */
    enum Fault {
        NONE,
        CLIENT_RESETS,
        SERVER_RESETS,
        CLIENT_STALLS,
        SERVER_STALLS
    }

    /** Draws a plan. Each end order applies to a third of the streams; 4 in 25 streams have a fault. */
    static StreamPlan of(long seed, long stream, int maxBytes) {
        Random random = new Random(seed * 1_000_003 + stream);
        long up = Long.BYTES + size(random, maxBytes);
        long down = size(random, maxBytes);
        EndOrder order = EndOrder.values()[random.nextInt(EndOrder.values().length)];
        int drawn = random.nextInt(STREAMS_PER_FAULT);
        Fault fault = drawn < Fault.values().length ? Fault.values()[drawn] : Fault.NONE;
        long faultRange = fault == Fault.CLIENT_RESETS || fault == Fault.SERVER_STALLS ? up : down;
        return new StreamPlan(
                up,
                down,
                order,
                random.nextInt(STREAMS_PER_PAUSING_STREAM) == 0 ? MAX_PAUSE_MILLIS : 0,
                fault,
                Long.BYTES + (long) (random.nextDouble() * faultRange));
    }

    /** Draws a size whose logarithm is uniform. */
    private static long size(Random random, int maxBytes) {
        return (long) Math.exp(random.nextDouble() * Math.log(maxBytes));
    }
}
