package topazvalve.core.pool;

import java.util.Locale;
import topazvalve.core.metrics.Metrics;
import topazvalve.policy.Outcome;

/** What happened to the connections and attempts of one set of pools since the process started. */
final class PoolCounters {
    private static final CloseReason[] CLOSE_REASONS = CloseReason.values();
    private static final WritePermission[] WRITE_PERMISSIONS = WritePermission.values();
    private static final Outcome[] OUTCOMES = Outcome.values();

    private final long[] closed = new long[CLOSE_REASONS.length];
    private final long[] notWritten = new long[WRITE_PERMISSIONS.length];
    private final long[] ended = new long[OUTCOMES.length];
    private long opened;
    private long reused;

    /** Counts a connection that is being opened. */
    void connectionOpened() {
        opened++;
    }

    /** Counts an attempt on a connection that has carried another one. */
    void connectionReused() {
        reused++;
    }

    /** Counts a connection that was closed. */
    void connectionClosed(CloseReason reason) {
        closed[reason.ordinal()]++;
    }

    /** Counts an attempt that had a connection and was not written. */
    void attemptNotWritten(WritePermission reason) {
        notWritten[reason.ordinal()]++;
    }

    /** Counts an attempt that has ended. */
    void attemptEnded(Outcome outcome) {
        ended[outcome.ordinal()]++;
    }

    /** Appends the counters, one per line. */
    void appendTo(StringBuilder text) {
        Metrics.appendLine(text, "connections_opened", opened);
        Metrics.appendLine(text, "connections_reused", reused);
        for (CloseReason reason : CLOSE_REASONS) {
            Metrics.appendLine(text, "connections_closed." + lowerCase(reason), closed[reason.ordinal()]);
        }
        for (WritePermission reason : WRITE_PERMISSIONS) {
            if (reason != WritePermission.GRANTED) {
                Metrics.appendLine(text, "attempts_not_written." + lowerCase(reason), notWritten[reason.ordinal()]);
            }
        }
        for (Outcome outcome : OUTCOMES) {
            Metrics.appendLine(text, "attempts_ended." + lowerCase(outcome), ended[outcome.ordinal()]);
        }
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
