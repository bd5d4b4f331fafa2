package topazvalve.core.time;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.metrics.Metrics;

/** How often and how long an event loop has stalled since the process started. Used only on the event loop. */
public final class StallStatistics {
    private static final Logger LOG = LoggerFactory.getLogger("engine");
    /** The upper bounds of the histogram's buckets, in milliseconds; longer stalls are in a last bucket. */
    private static final long[] BUCKET_MILLIS = {100, 200, 500, 1_000, 2_000, 5_000};

    private static final long MIN_LOGGED_MILLIS = 100;
    /** Stalls in quick succession share a line, so that a slow reader of the log is not the cause of more of them. */
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final long[] buckets = new long[BUCKET_MILLIS.length + 1];
    private long totalMillis;
    private long runningNanos;
    private long waitingNanos;
    private long lastLogNanos = System.nanoTime() - LOG_INTERVAL_NANOS;
    private int unloggedCount;

    /** Records a stall that has just been noticed, and what the thread did meanwhile; logs one of 100 ms and more. */
    void record(long stallNanos, ThreadProcessorTime.Usage usage) {
        long millis = TimeUnit.NANOSECONDS.toMillis(stallNanos);
        totalMillis += millis;
        runningNanos += usage.runningNanos();
        waitingNanos += usage.waitingNanos();
        int bucket = 0;
        while (bucket < BUCKET_MILLIS.length && millis > BUCKET_MILLIS[bucket]) {
            bucket++;
        }
        buckets[bucket]++;
        if (millis >= MIN_LOGGED_MILLIS) {
            logAtIntervals(millis, usage);
        }
    }

    private void logAtIntervals(long millis, ThreadProcessorTime.Usage usage) {
        long now = System.nanoTime();
        if (now - lastLogNanos < LOG_INTERVAL_NANOS) {
            unloggedCount++;
            return;
        }
        LOG.warn(
                "event loop stalled for {} ms, {} more stalls since the last such line; "
                        + "{} ms of it on a processor, {} ms waiting for one",
                millis,
                unloggedCount,
                TimeUnit.NANOSECONDS.toMillis(usage.runningNanos()),
                TimeUnit.NANOSECONDS.toMillis(usage.waitingNanos()));
        lastLogNanos = now;
        unloggedCount = 0;
    }

    /** Appends the number of stalls by length and the time spent in them, one metric per line. */
    public void appendTo(StringBuilder text) {
        for (int i = 0; i < BUCKET_MILLIS.length; i++) {
            Metrics.appendLine(text, "stalls.to_" + BUCKET_MILLIS[i] + "ms", buckets[i]);
        }
        Metrics.appendLine(text, "stalls.longer", buckets[BUCKET_MILLIS.length]);
        Metrics.appendLine(text, "stalled_ms", totalMillis);
        Metrics.appendLine(text, "stalled_running_ms", TimeUnit.NANOSECONDS.toMillis(runningNanos));
        Metrics.appendLine(text, "stalled_waiting_ms", TimeUnit.NANOSECONDS.toMillis(waitingNanos));
    }
}
