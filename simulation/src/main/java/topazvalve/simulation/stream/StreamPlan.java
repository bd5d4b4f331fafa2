package topazvalve.simulation.stream;

import java.util.Random;

/**
 * The plan of a stream, drawn from a seed and the stream's number.
 *
 * @param up the number of bytes from the client, those of the stream's number included
 * @param down the number of bytes from the server
 * @param order which end closes its half first
 * @param pauseMs the longest pause between two writes in milliseconds
 * @param fault the planned fault
 * @param faultAt the bytes that the end with the fault sends, or receives for a stall, before it
 */
record StreamPlan(long up, long down, EndOrder order, int pauseMs, Fault fault, long faultAt) {
    /** Which end closes its half first; with {@code EACH} both close when they have sent all. */
    enum EndOrder {
        CLIENT_FIRST,
        SERVER_FIRST,
        EACH
    }

    /** Planned faults. */
    enum Fault {
        NONE,
        CLIENT_RESETS,
        SERVER_RESETS,
        CLIENT_STALLS,
        SERVER_STALLS
    }

    /** Draws a plan. Each order of ends has a third of the streams; 4 in 25 streams have a fault. */
    static StreamPlan of(long seed, long stream, int largest) {
        Random random = new Random(seed * 1_000_003 + stream);
        long up = 8 + size(random, largest);
        long down = size(random, largest);
        EndOrder order = EndOrder.values()[random.nextInt(3)];
        int drawn = random.nextInt(25);
        Fault fault = drawn < Fault.values().length ? Fault.values()[drawn] : Fault.NONE;
        long breaker = fault == Fault.CLIENT_RESETS || fault == Fault.SERVER_STALLS ? up : down;
        return new StreamPlan(
                up, down, order, random.nextInt(4) == 0 ? 20 : 0, fault, 8 + (long) (random.nextDouble() * breaker));
    }

    /** Draws a size whose logarithm is uniform. */
    private static long size(Random random, int largest) {
        return (long) Math.exp(random.nextDouble() * Math.log(largest));
    }
}
