package topazvalve.simulation.statistics;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.HdrHistogram.Histogram;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.WorkClass;

/**
 * The statistics of a run, by class and by second. Latencies count from the time at which a request was meant to be
 * sent. A client's retry counts with its first try. Times are nanoseconds from the start of the run. Not thread-safe.
 */
public final class RunStatistics {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int WORST_WINDOW_SECONDS = 10;
    /** The range of the histograms; longer latencies count as the longest. */
    private static final long MIN_LATENCY_NANOS = 1_000;

    private static final long MAX_LATENCY_NANOS = 600_000_000_000L;

    /** Significant decimal digits of the histograms. */
    private static final int DIGITS_BY_CLASS = 3;

    private static final int DIGITS_BY_SECOND = 2;

    private static final double SERVICE_WEIGHT = 0.75;
    private static final double WORST_WINDOW_WEIGHT = 0.15;
    private static final double WORST_CLASS_WEIGHT = 0.1;
    private static final int ALL_CLASSES = -1;

    private final Scenario scenario;
    private final int classes;
    private final int seconds;
    private final long[][] sentBySecond;
    private final long[][] goodBySecond;
    private final long[] rejected;
    private final long[] failed;
    private final long[] unanswered;
    private final long[] late;
    private final long[] attemptsBySecond;
    private final List<Histogram> latencyByClass = new ArrayList<>();
    private final List<Histogram> latencyBySecond = new ArrayList<>();
    private long attempts;
    private long connections;
    private long healthChecks;
    private long retries;

    /** Creates the statistics of a run that hasn't started. */
    public RunStatistics(Scenario scenario) {
        this.scenario = scenario;
        this.classes = scenario.classes().size();
        this.seconds = (int) (scenario.length() / NANOS_PER_SECOND) + 1;
        this.sentBySecond = new long[classes][seconds];
        this.goodBySecond = new long[classes][seconds];
        this.rejected = new long[classes];
        this.failed = new long[classes];
        this.unanswered = new long[classes];
        this.late = new long[classes];
        this.attemptsBySecond = new long[seconds];
        for (int i = 0; i < classes; i++) {
            latencyByClass.add(new Histogram(MIN_LATENCY_NANOS, MAX_LATENCY_NANOS, DIGITS_BY_CLASS));
        }
        for (int i = 0; i < seconds; i++) {
            latencyBySecond.add(null);
        }
    }

    private int second(long at) {
        return (int) Math.min(seconds - 1, Math.max(0, at / NANOS_PER_SECOND));
    }

    /** Returns whether a time is after the part of the run that the statistics leave out. */
    private boolean afterSettling(long at) {
        return at >= scenario.settle();
    }

    /** A client has sent a first try; {@code at} is when it was meant to be sent. */
    public void requestSent(int requestClass, long at) {
        sentBySecond[requestClass][second(at)]++;
    }

    /**
     * A client has received a response to a request.
     *
     * @param firstAt when the first try was meant to be sent
     * @param latencyNanos how long the client has waited since then
     */
    public void requestServed(int requestClass, long firstAt, long latencyNanos) {
        WorkClass workClass = scenario.classes().get(requestClass);
        int second = second(firstAt);
        long recorded = Math.min(MAX_LATENCY_NANOS, Math.max(0, latencyNanos));
        if (latencyNanos <= workClass.latencyObjective()) {
            goodBySecond[requestClass][second]++;
        } else if (afterSettling(firstAt)) {
            late[requestClass]++;
        }
        if (afterSettling(firstAt)) {
            latencyByClass.get(requestClass).recordValue(recorded);
        }
        Histogram histogram = latencyBySecond.get(second);
        if (histogram == null) {
            histogram = new Histogram(MIN_LATENCY_NANOS, MAX_LATENCY_NANOS, DIGITS_BY_SECOND);
            latencyBySecond.set(second, histogram);
        }
        histogram.recordValue(recorded);
    }

    /** A request was rejected, and so was its retry if there was one. */
    public void requestRejected(int requestClass, long firstAt) {
        rejected[requestClass] += afterSettling(firstAt) ? 1 : 0;
    }

    /** A request failed, and so did its retry if there was one. */
    public void requestFailed(int requestClass, long firstAt) {
        failed[requestClass] += afterSettling(firstAt) ? 1 : 0;
    }

    /** A request has ended without a response. */
    public void requestUnanswered(int requestClass, long firstAt) {
        unanswered[requestClass] += afterSettling(firstAt) ? 1 : 0;
    }

    /** A server has received an attempt. */
    public void attemptReceived(long at) {
        attempts++;
        attemptsBySecond[second(at)]++;
    }

    /** An instance has opened a connection to a server. */
    public void connectionOpened() {
        connections++;
    }

    /** An instance has sent a health check. */
    public void healthCheckSent() {
        healthChecks++;
    }

    /** A client has sent a retry. */
    public void retrySent() {
        retries++;
    }

    /**
     * The statistics of one second of the run.
     *
     * @param number seconds from the start
     * @param sent first tries that clients sent
     * @param inTime those of them that were served within the latency objective
     * @param attempts attempts that servers received
     */
    public record Second(
            int number,
            @JsonProperty("asked") long sent,
            @JsonProperty("good") long inTime,
            double p50Ms,
            double p99Ms,
            long attempts) {}

    /** Returns the statistics of one second. */
    public Second second(int number) {
        long sent = 0;
        long inTime = 0;
        for (int i = 0; i < classes; i++) {
            sent += sentBySecond[i][number];
            inTime += goodBySecond[i][number];
        }
        Histogram histogram = latencyBySecond.get(number);
        return new Second(
                number,
                sent,
                inTime,
                percentileMillis(histogram, 50),
                percentileMillis(histogram, 99),
                attemptsBySecond[number]);
    }

    private static double percentileMillis(Histogram histogram, double percentile) {
        return histogram == null ? 0 : histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /** Returns the number of seconds of the run; the last one may be partial. */
    public int seconds() {
        return seconds;
    }

    /**
     * Returns the priority weight of the requests served within the latency objective, as a fraction (0 to 1) of the
     * weight of all requests sent.
     *
     * @param from the first second
     * @param to the second after the last one
     * @param onlyClass the class that counts, or {@link #ALL_CLASSES}
     */
    private double service(int from, int to, int onlyClass) {
        double earned = 0;
        double total = 0;
        for (int i = 0; i < classes; i++) {
            if (onlyClass == ALL_CLASSES || onlyClass == i) {
                double weight = scenario.classes().get(i).priorityWeight();
                earned += weight * Arrays.stream(goodBySecond[i], from, to).sum();
                total += weight * Arrays.stream(sentBySecond[i], from, to).sum();
            }
        }
        return total == 0 ? 1 : earned / total;
    }

    private int firstSecond() {
        return (int) ((scenario.settle() + NANOS_PER_SECOND - 1) / NANOS_PER_SECOND);
    }

    /**
     * Returns the service of the run: the priority weight of the requests served within the latency objective, as a
     * fraction (0 to 1) of the weight of all requests sent.
     */
    public double service() {
        return service(firstSecond(), seconds, ALL_CLASSES);
    }

    /** Returns the service of the worst ten seconds. */
    public double worstWindow() {
        double worst = 1;
        for (int from = firstSecond(); from + WORST_WINDOW_SECONDS < seconds; from++) {
            worst = Math.min(worst, service(from, from + WORST_WINDOW_SECONDS, ALL_CLASSES));
        }
        return seconds - firstSecond() <= WORST_WINDOW_SECONDS ? service() : worst;
    }

    /** Returns the service of one class. */
    public double service(int requestClass) {
        return service(firstSecond(), seconds, requestClass);
    }

    /** Returns the service of the class that is served worst. */
    public double worstClass() {
        double worst = 1;
        for (int i = 0; i < classes; i++) {
            worst = Math.min(worst, service(i));
        }
        return worst;
    }

    /** Returns the weighted mean (0 to 1) of the service of the run, its worst ten seconds and its worst class. */
    public double goal() {
        return SERVICE_WEIGHT * service() + WORST_WINDOW_WEIGHT * worstWindow() + WORST_CLASS_WEIGHT * worstClass();
    }

    /**
     * Sums over all classes and the run. Those of requests leave out the settling time.
     * Stored results have the annotated names as keys.
     *
     * @param sent first tries that clients sent
     * @param inTime served within the latency objective
     * @param late served later
     * @param rejected rejected
     * @param attempts attempts that servers received
     * @param connections connections that instances opened
     * @param healthChecks health checks that instances sent
     * @param retries retries that clients sent
     */
    public record Sums(
            @JsonProperty("asked") long sent,
            @JsonProperty("good") long inTime,
            long late,
            @JsonProperty("refused") long rejected,
            long failed,
            long unanswered,
            long attempts,
            long connections,
            @JsonProperty("probes") long healthChecks,
            long retries) {}

    /** Returns the sums over all classes. */
    public Sums sums() {
        long sent = 0;
        long inTime = 0;
        for (int i = 0; i < classes; i++) {
            sent += Arrays.stream(sentBySecond[i], firstSecond(), seconds).sum();
            inTime += Arrays.stream(goodBySecond[i], firstSecond(), seconds).sum();
        }
        return new Sums(
                sent,
                inTime,
                sum(late),
                sum(rejected),
                sum(failed),
                sum(unanswered),
                attempts,
                connections,
                healthChecks,
                retries);
    }

    private static long sum(long[] values) {
        return Arrays.stream(values).sum();
    }

    /** Returns the latencies of one class's served requests, in nanoseconds. */
    public Histogram latency(int requestClass) {
        return latencyByClass.get(requestClass);
    }

    /** Returns the latencies of all served requests, in nanoseconds. */
    public Histogram latency() {
        Histogram all = new Histogram(MIN_LATENCY_NANOS, MAX_LATENCY_NANOS, DIGITS_BY_CLASS);
        latencyByClass.forEach(all::add);
        return all;
    }
}
