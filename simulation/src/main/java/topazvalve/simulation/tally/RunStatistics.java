package topazvalve.simulation.tally;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.HdrHistogram.Histogram;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.WorkClass;

/**
 * Adds a run up: by class and by second, latencies from the time a request was meant to be sent. A client's
 * retry belongs to its first try. One thread.
 */
public final class RunStatistics {
    private static final long SECOND = 1_000_000_000L;
    private static final int WORST_WINDOW = 10;
    private static final long LONGEST = 600_000_000_000L;

    private final Scenario scenario;
    private final int classes;
    private final int seconds;
    private final long[][] asked;
    private final long[][] good;
    private final long[] refused;
    private final long[] failed;
    private final long[] unanswered;
    private final long[] late;
    private final long[] attemptsBySecond;
    private final List<Histogram> latency = new ArrayList<>();
    private final List<Histogram> bySecond = new ArrayList<>();
    private long attempts;
    private long connections;
    private long probes;
    private long retries;

    /** Nothing yet. */
    public RunStatistics(Scenario scenario) {
        this.scenario = scenario;
        this.classes = scenario.classes().size();
        this.seconds = (int) (scenario.length() / SECOND) + 1;
        this.asked = new long[classes][seconds];
        this.good = new long[classes][seconds];
        this.refused = new long[classes];
        this.failed = new long[classes];
        this.unanswered = new long[classes];
        this.late = new long[classes];
        this.attemptsBySecond = new long[seconds];
        for (int i = 0; i < classes; i++) {
            latency.add(new Histogram(1_000, LONGEST, 3));
        }
        for (int i = 0; i < seconds; i++) {
            bySecond.add(null);
        }
    }

    private int second(long at) {
        return (int) Math.min(seconds - 1, Math.max(0, at / SECOND));
    }

    private boolean counts(long at) {
        return at >= scenario.settle();
    }

    /** A first try; {@code at} is when it was meant to be sent, from the start of the run. */
    public void asked(int requestClass, long at) {
        asked[requestClass][second(at)]++;
    }

    /** A request was served after so many nanoseconds from the first try's time, {@code firstAt}. */
    public void served(int requestClass, long firstAt, long took) {
        WorkClass kind = scenario.classes().get(requestClass);
        int second = second(firstAt);
        if (took <= kind.latencyObjective()) {
            good[requestClass][second]++;
        } else if (counts(firstAt)) {
            late[requestClass]++;
        }
        if (counts(firstAt)) {
            latency.get(requestClass).recordValue(Math.min(LONGEST, Math.max(0, took)));
        }
        Histogram window = bySecond.get(second);
        if (window == null) {
            window = new Histogram(1_000, LONGEST, 2);
            bySecond.set(second, window);
        }
        window.recordValue(Math.min(LONGEST, Math.max(0, took)));
    }

    /** A first try ended, with its retries, refused. */
    public void refused(int requestClass, long firstAt) {
        refused[requestClass] += counts(firstAt) ? 1 : 0;
    }

    /** A first try ended failed. */
    public void failed(int requestClass, long firstAt) {
        failed[requestClass] += counts(firstAt) ? 1 : 0;
    }

    /** A first try ended without an answer. */
    public void unanswered(int requestClass, long firstAt) {
        unanswered[requestClass] += counts(firstAt) ? 1 : 0;
    }

    /** An attempt has reached a server. */
    public void attempt(long at) {
        attempts++;
        attemptsBySecond[second(at)]++;
    }

    /** A connection was opened to a server. */
    public void connection() {
        connections++;
    }

    /** A server was probed. */
    public void probe() {
        probes++;
    }

    /** A client tried once more. */
    public void retry() {
        retries++;
    }

    /** What a second looked like. */
    public record Second(int number, long asked, long good, double p50Ms, double p99Ms, long attempts) {}

    /** One second, for a progress line or a plot. */
    public Second second(int number) {
        long all = 0;
        long served = 0;
        for (int i = 0; i < classes; i++) {
            all += asked[i][number];
            served += good[i][number];
        }
        Histogram window = bySecond.get(number);
        return new Second(
                number,
                all,
                served,
                window == null ? 0 : window.getValueAtPercentile(50) / 1e6,
                window == null ? 0 : window.getValueAtPercentile(99) / 1e6,
                attemptsBySecond[number]);
    }

    /** Seconds that the run has. */
    public int seconds() {
        return seconds;
    }

    /** The worth answered within the aim, over the worth asked for; between two seconds. */
    private double service(int from, int to, int onlyClass) {
        double had = 0;
        double wanted = 0;
        for (int i = 0; i < classes; i++) {
            if (onlyClass < 0 || onlyClass == i) {
                double worth = scenario.classes().get(i).priorityWeight();
                had += worth * Arrays.stream(good[i], from, to).sum();
                wanted += worth * Arrays.stream(asked[i], from, to).sum();
            }
        }
        return wanted == 0 ? 1 : had / wanted;
    }

    private int firstSecond() {
        return (int) ((scenario.settle() + SECOND - 1) / SECOND);
    }

    /** Of the whole run. */
    public double service() {
        return service(firstSecond(), seconds, -1);
    }

    /** Of the worst ten seconds. */
    public double worstWindow() {
        double worst = 1;
        for (int from = firstSecond(); from + WORST_WINDOW < seconds; from++) {
            worst = Math.min(worst, service(from, from + WORST_WINDOW, -1));
        }
        return seconds - firstSecond() <= WORST_WINDOW ? service() : worst;
    }

    /** Of one class. */
    public double service(int requestClass) {
        return service(firstSecond(), seconds, requestClass);
    }

    /** Of the class that is served worst. */
    public double worstClass() {
        double worst = 1;
        for (int i = 0; i < classes; i++) {
            worst = Math.min(worst, service(i));
        }
        return worst;
    }

    /** Three quarters of the whole, 0.15 of the worst ten seconds, a tenth of the worst class. */
    public double goal() {
        return 0.75 * service() + 0.15 * worstWindow() + 0.1 * worstClass();
    }

    /** Sums over all classes and the whole run, the settling apart. */
    public record Sums(
            long asked,
            long good,
            long late,
            long refused,
            long failed,
            long unanswered,
            long attempts,
            long connections,
            long probes,
            long retries) {}

    /** The sums. */
    public Sums sums() {
        long all = 0;
        long served = 0;
        for (int i = 0; i < classes; i++) {
            all += Arrays.stream(asked[i], firstSecond(), seconds).sum();
            served += Arrays.stream(good[i], firstSecond(), seconds).sum();
        }
        return new Sums(
                all,
                served,
                sum(late),
                sum(refused),
                sum(failed),
                sum(unanswered),
                attempts,
                connections,
                probes,
                retries);
    }

    private static long sum(long[] values) {
        return Arrays.stream(values).sum();
    }

    /** Latencies of one class's served requests, in nanoseconds. */
    public Histogram latency(int requestClass) {
        return latency.get(requestClass);
    }

    /** Latencies of all served requests, in nanoseconds. */
    public Histogram latency() {
        Histogram all = new Histogram(1_000, LONGEST, 3);
        latency.forEach(all::add);
        return all;
    }
}
