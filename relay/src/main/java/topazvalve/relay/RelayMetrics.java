package topazvalve.relay;

/** What one relay has done since it started. On the loop alone. */
final class RelayMetrics {
    long calls;
    long refusedFull;
    long refusedUnheard;
    long refusedBehind;
    long refusedBad;
    long wholeLists;
    long changes;
    long overtaken;
    long stalled;
    long bytes;

    /** As {@code key=value} lines. */
    void print(StringBuilder to) {
        line(to, "calls", calls);
        line(to, "refused.full", refusedFull);
        line(to, "refused.unheard", refusedUnheard);
        line(to, "refused.behind", refusedBehind);
        line(to, "refused.bad", refusedBad);
        line(to, "whole_lists", wholeLists);
        line(to, "changes", changes);
        line(to, "overtaken", overtaken);
        line(to, "stalled", stalled);
        line(to, "bytes", bytes);
    }

    static void line(StringBuilder to, String key, long value) {
        to.append(key).append('=').append(value).append('\n');
    }
}
