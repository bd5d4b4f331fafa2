package topazvalve.simulation.statistics;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** Latencies of served requests, by class and by second. */
final class LatencyStatistics {
    /** The range of the histograms; longer latencies are recorded as the maximum. */
    private static final long MIN_LATENCY_NANOS = 1_000;

    private static final long MAX_LATENCY_NANOS = 600_000_000_000L;

    /** Significant decimal digits of the histograms. */
    private static final int CLASS_HISTOGRAM_DIGITS = 3;

    private static final int SECOND_HISTOGRAM_DIGITS = 2;

    private static final double NANOS_PER_MILLI = 1e6;

    private final List<Histogram> byClass = new ArrayList<>();
    /** Null for seconds without a served request. */
    private final Histogram[] bySecond;

    LatencyStatistics(int classes, int seconds) {
        for (int i = 0; i < classes; i++) {
            byClass.add(new Histogram(MIN_LATENCY_NANOS, MAX_LATENCY_NANOS, CLASS_HISTOGRAM_DIGITS));
        }
        this.bySecond = new Histogram[seconds];
    }

    /**
     * Records a latency.
     *
     * @param afterSettling whether it also counts for the class, since the settling time is over
     */
    void record(int requestClass, int second, long latencyNanos, boolean afterSettling) {
        long recorded = Math.min(MAX_LATENCY_NANOS, Math.max(0, latencyNanos));
        if (afterSettling) {
            byClass.get(requestClass).recordValue(recorded);
        }
        if (bySecond[second] == null) {
            bySecond[second] = new Histogram(MIN_LATENCY_NANOS, MAX_LATENCY_NANOS, SECOND_HISTOGRAM_DIGITS);
        }
        bySecond[second].recordValue(recorded);
    }

    /** Returns a percentile (0 to 100) of one second, in milliseconds; 0 if no request was served. */
    double percentileMillis(int second, double percentile) {
        Histogram histogram = bySecond[second];
        return histogram == null ? 0 : histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /** Returns the latencies of one class in nanoseconds. */
    Histogram ofClass(int requestClass) {
        return byClass.get(requestClass);
    }

    /** Returns the latencies of all classes in nanoseconds. */
    Histogram ofAll() {
        Histogram all = new Histogram(MIN_LATENCY_NANOS, MAX_LATENCY_NANOS, CLASS_HISTOGRAM_DIGITS);
        byClass.forEach(all::add);
        return all;
    }
}
