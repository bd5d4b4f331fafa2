package topazvalve.simulation.model;

/**
 * What a cold server is sent, against what it can do: more than so many times its capacity over a window of
 * this length pushes it over. Both are kept in slices of a tenth of the window.
 */
final class ColdCapacityBudget {
    private static final int SLICES = 10;
    private final long slice;
    private final double factor;
    private final double[] offered = new double[SLICES];
    private final double[] informed = new double[SLICES];
    private final double[] room = new double[SLICES];
    private long current = Long.MIN_VALUE;

    ColdCapacityBudget(long window, double factor) {
        this.slice = Math.max(1, window / SLICES);
        this.factor = factor;
    }

    /** Counts work in; {@code capacity} is the present one, in work a nanosecond. */
    void offer(long now, double work, double capacity, boolean fromInformed) {
        long number = now / slice;
        for (long each = Math.max(current + 1, number - SLICES + 1); each <= number; each++) {
            int at = (int) (each % SLICES);
            offered[at] = 0;
            informed[at] = 0;
            room[at] = capacity * slice;
        }
        current = number;
        int at = (int) (number % SLICES);
        offered[at] += work;
        informed[at] += fromInformed ? work : 0;
    }

    /** Whether the window holds too much; {@code slack} is work that chance may add. */
    boolean over(double slack) {
        return sum(offered) > factor * sum(room) + slack;
    }

    /** The window's work, and what the server may be sent in it. */
    double offered() {
        return sum(offered);
    }

    double allowed() {
        return factor * sum(room);
    }

    /** The part of the window's work that came from those who knew of the start. */
    double informedShare() {
        double all = sum(offered);
        return all == 0 ? 0 : sum(informed) / all;
    }

    private static double sum(double[] values) {
        double sum = 0;
        for (double each : values) {
            sum += each;
        }
        return sum;
    }
}
