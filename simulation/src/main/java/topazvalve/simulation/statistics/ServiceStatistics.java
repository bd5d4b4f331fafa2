package topazvalve.simulation.statistics;

import java.util.Arrays;
import topazvalve.simulation.scenario.Scenario;

/**
 * The service of a run: the priority weight of the requests served within the latency objective, as a fraction (0 to 1)
 * of the weight of all requests sent. The settling time is excluded.
 */
final class ServiceStatistics {
    private static final int WORST_WINDOW_SECONDS = 10;
    private static final double SERVICE_WEIGHT = 0.75;
    private static final double WORST_WINDOW_WEIGHT = 0.15;
    private static final double WORST_CLASS_WEIGHT = 0.1;
    private static final int ALL_CLASSES = -1;

    private final Scenario scenario;
    private final int classes;
    private final int firstSecond;
    private final int seconds;
    /** Requests sent, indexed by class and second. */
    private final long[][] sent;

    /** Requests served within the latency objective, indexed by class and second. */
    private final long[][] inTime;

    /**
     * Creates the statistics of a run that has not started.
     *
     * @param firstSecond the first second that counts
     */
    ServiceStatistics(Scenario scenario, int firstSecond, int seconds) {
        this.scenario = scenario;
        this.classes = scenario.classes().size();
        this.firstSecond = firstSecond;
        this.seconds = seconds;
        this.sent = new long[classes][seconds];
        this.inTime = new long[classes][seconds];
    }

    void requestSent(int requestClass, int second) {
        sent[requestClass][second]++;
    }

    void servedInTime(int requestClass, int second) {
        inTime[requestClass][second]++;
    }

    /** Returns the number of requests of all classes that were sent in one second. */
    long sentIn(int second) {
        return sumOver(sent, second);
    }

    /** Returns how many of these requests were served within the latency objective. */
    long inTimeOf(int second) {
        return sumOver(inTime, second);
    }

    private static long sumOver(long[][] counts, int second) {
        return Arrays.stream(counts).mapToLong(each -> each[second]).sum();
    }

    /** Returns the number of requests of all classes that were sent after the settling time. */
    long sent() {
        return sumAfterSettling(sent);
    }

    /** Returns how many of these requests were served within the latency objective. */
    long inTime() {
        return sumAfterSettling(inTime);
    }

    private long sumAfterSettling(long[][] counts) {
        return Arrays.stream(counts)
                .mapToLong(each -> Arrays.stream(each, firstSecond, seconds).sum())
                .sum();
    }

    /**
     * Returns the service of a range of seconds.
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
                earned += weight * Arrays.stream(inTime[i], from, to).sum();
                total += weight * Arrays.stream(sent[i], from, to).sum();
            }
        }
        return total == 0 ? 1 : earned / total;
    }

    /** Returns the service of the run. */
    double service() {
        return service(firstSecond, seconds, ALL_CLASSES);
    }

    /** Returns the service of one class. */
    double service(int requestClass) {
        return service(firstSecond, seconds, requestClass);
    }

    /** Returns the service of the worst ten-second window. */
    double worstWindow() {
        double worst = 1;
        for (int from = firstSecond; from + WORST_WINDOW_SECONDS < seconds; from++) {
            worst = Math.min(worst, service(from, from + WORST_WINDOW_SECONDS, ALL_CLASSES));
        }
        return seconds - firstSecond <= WORST_WINDOW_SECONDS ? service() : worst;
    }

    /** Returns the service of the class with the lowest service. */
    double worstClass() {
        double worst = 1;
        for (int i = 0; i < classes; i++) {
            worst = Math.min(worst, service(i));
        }
        return worst;
    }

    /**
     * Returns the weighted mean (0 to 1) of the service of the run, of its worst ten-second window and of its worst
     * class.
     */
    double goal() {
        return SERVICE_WEIGHT * service() + WORST_WINDOW_WEIGHT * worstWindow() + WORST_CLASS_WEIGHT * worstClass();
    }
}
