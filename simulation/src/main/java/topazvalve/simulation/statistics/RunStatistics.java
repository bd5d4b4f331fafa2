package topazvalve.simulation.statistics;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Arrays;
import org.HdrHistogram.Histogram;
import topazvalve.simulation.scenario.RequestClassSpec;
import topazvalve.simulation.scenario.Scenario;

/**
 * The statistics of a run, by class and by second. Latencies count from the intended send time of the request (open
 * loop). A client's retry belongs to its first try. Times are nanoseconds from the start of the run. Not thread-safe.
 */
public final class RunStatistics {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Scenario scenario;
    private final int seconds;
    private final ServiceStatistics service;
    private final LatencyStatistics latency;
    private final long[] rejected;
    private final long[] failed;
    private final long[] unanswered;
    private final long[] late;
    private final long[] attemptsBySecond;
    private long attempts;
    private long connections;
    private long healthChecks;
    private long retries;

    /** Creates the statistics of a run that has not started. */
    public RunStatistics(Scenario scenario) {
        this.scenario = scenario;
        int classes = scenario.classes().size();
        this.seconds = (int) (scenario.length() / NANOS_PER_SECOND) + 1;
        int firstSecond = (int) ((scenario.settlingTime() + NANOS_PER_SECOND - 1) / NANOS_PER_SECOND);
        this.service = new ServiceStatistics(scenario, firstSecond, seconds);
        this.latency = new LatencyStatistics(classes, seconds);
        this.rejected = new long[classes];
        this.failed = new long[classes];
        this.unanswered = new long[classes];
        this.late = new long[classes];
        this.attemptsBySecond = new long[seconds];
    }

    private int second(long at) {
        return (int) Math.min(seconds - 1, Math.max(0, at / NANOS_PER_SECOND));
    }

    /** Returns whether a time is after the settling time, which the statistics exclude. */
    private boolean afterSettling(long at) {
        return at >= scenario.settlingTime();
    }

    /** A client has sent a first try; {@code at} is its intended send time. */
    public void requestSent(int requestClass, long at) {
        service.requestSent(requestClass, second(at));
    }

    /**
     * A client has received a response to a request.
     *
     * @param firstAt the intended send time of the first try
     * @param latencyNanos how long the client has waited since that time
     */
    public void requestServed(int requestClass, long firstAt, long latencyNanos) {
        RequestClassSpec classSpec = scenario.classes().get(requestClass);
        int second = second(firstAt);
        if (latencyNanos <= classSpec.latencyObjective()) {
            service.servedInTime(requestClass, second);
        } else if (afterSettling(firstAt)) {
            late[requestClass]++;
        }
        latency.record(requestClass, second, latencyNanos, afterSettling(firstAt));
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
     * @param sent the number of first tries that clients sent
     * @param inTime the number of these that were served within the latency objective
     * @param p50Ms the median latency in milliseconds; 0 if no request was served
     * @param p99Ms the 99th percentile of the latency in milliseconds; 0 if no request was served
     * @param attempts the number of attempts that servers received
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
        return new Second(
                number,
                service.sentIn(number),
                service.inTimeOf(number),
                latency.percentileMillis(number, 50),
                latency.percentileMillis(number, 99),
                attemptsBySecond[number]);
    }

    /** Returns the number of seconds of the run; the last one may be partial. */
    public int seconds() {
        return seconds;
    }

    /**
     * Returns the service of the run: the priority weight of the requests served within the latency objective, as a
     * fraction (0 to 1) of the weight of all requests sent.
     */
    public double service() {
        return service.service();
    }

    /** Returns the service of the worst ten-second window. */
    public double worstWindow() {
        return service.worstWindow();
    }

    /** Returns the service of one class. */
    public double service(int requestClass) {
        return service.service(requestClass);
    }

    /** Returns the service of the class with the lowest service. */
    public double worstClass() {
        return service.worstClass();
    }

    /**
     * Returns the weighted mean (0 to 1) of the service of the run, of its worst ten-second window and of its worst
     * class.
     */
    public double goal() {
        return service.goal();
    }

    /**
     * Sums over all classes and the whole run. Those of requests exclude the settling time.
     * Stored results have the annotated names as keys.
     *
     * @param sent first tries that clients sent
     * @param inTime served within the latency objective
     * @param late served later
     * @param rejected rejected, retries included
     * @param failed failed, retries included
     * @param unanswered ended without a response
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
        return new Sums(
                service.sent(),
                service.inTime(),
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
        return latency.ofClass(requestClass);
    }

    /** Returns the latencies of all served requests, in nanoseconds. */
    public Histogram latency() {
        return latency.ofAll();
    }
}
