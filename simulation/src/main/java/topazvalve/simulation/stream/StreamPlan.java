package topazvalve.simulation.stream;

import java.util.Random;

/**
 * What the two ends of one stream do, drawn from a seed and the stream's number alone.
 *
 * @param up bytes from the client, those of the number included
 * @param down bytes from the server
 * @param order who ends its half first
 * @param pauseMs the longest pause between two writes
 * @param fault what breaks it
 * @param faultAt the bytes sent by whoever breaks it, or stalls, before that
 */
record StreamPlan(long up, long down, Order order, int pauseMs, Fault fault, long faultAt) {
    /** A half that ends while the other still has all of its bytes to send, or both as they come. */
    enum Order {
        CLIENT_FIRST,
        SERVER_FIRST,
        EACH
    }

    /** What goes wrong. */
    enum Fault {
        NONE,
        CLIENT_RESETS,
        SERVER_RESETS,
        CLIENT_STALLS,
        SERVER_STALLS
    }

    /** A third each way with a half-close, a third without; four in twenty-five reset or stall. */
    static StreamPlan of(long seed, long stream, int largest) {
        Random random = new Random(seed * 1_000_003 + stream);
        long up = 8 + size(random, largest);
        long down = size(random, largest);
        Order order = Order.values()[random.nextInt(3)];
        int drawn = random.nextInt(25);
        Fault fault = drawn < Fault.values().length ? Fault.values()[drawn] : Fault.NONE;
        long breaker = fault == Fault.CLIENT_RESETS || fault == Fault.SERVER_STALLS ? up : down;
        return new StreamPlan(
                up, down, order, random.nextInt(4) == 0 ? 20 : 0, fault, 8 + (long) (random.nextDouble() * breaker));
    }

    /** Many are small, some are large. */
    private static long size(Random random, int largest) {
        return (long) Math.exp(random.nextDouble() * Math.log(largest));
    }
}
