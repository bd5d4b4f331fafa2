package topazvalve.hollowfleet.oracle;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntPredicate;
import topazvalve.hollowfleet.history.ChangeHistory;
import topazvalve.hollowfleet.history.ServerNames;
import topazvalve.policy.EndpointStatus;

/**
 * Compares the endpoint lists of sidecars with what their sources published, and counts violations of the rules.
 * Thread-safe. All times are in nanoseconds on the clock of the {@link ChangeHistory}.
 */
public final class FleetOracle {
    private static final int MAX_EXAMPLES_PER_RULE = 5;
    private static final int NO_CHANGE = 0;
    private static final double NANOS_PER_SECOND = 1e9;

    private final ChangeHistory history;
    private final FleetBudget budget;
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
    private final List<Violation> examples = new ArrayList<>();

    /** Creates an oracle without violations. */
    public FleetOracle(ChangeHistory history, FleetBudget budget) {
        this.history = history;
        this.budget = budget;
    }

    /** Returns the limits that are checked. */
    public FleetBudget budget() {
        return budget;
    }

    /** Checks the replacement of an entry in a sidecar's endpoint list. */
    public void entryReplaced(int sidecar, EntryReplacement entry, long nowNanos) {
        if (becameReadyWithoutChange(entry)) {
            report(
                    Rule.RETURNED,
                    nowNanos,
                    describe(sidecar, entry) + " became READY with change " + entry.newChange()
                            + ", which is not newer than change " + entry.oldChange() + " (" + entry.oldStatus()
                            + ")");
        } else if (entry.newChange() < entry.oldChange()) {
            report(
                    Rule.WENT_BACK,
                    nowNanos,
                    describe(sidecar, entry) + " went back from change " + entry.oldChange() + " to change "
                            + entry.newChange());
        }
    }

    private static String describe(int sidecar, EntryReplacement entry) {
        return "sidecar " + sidecar + ": " + ServerNames.nameOf(entry.server());
    }

    private boolean becameReadyWithoutChange(EntryReplacement entry) {
        boolean oldChangeSaysReady =
                entry.oldChange() == NO_CHANGE || history.status(entry.oldChange()) == EndpointStatus.READY;
        return entry.newChange() <= entry.oldChange()
                && entry.newStatus() == EndpointStatus.READY
                && entry.oldStatus() != EndpointStatus.READY
                && !oldChangeSaysReady;
    }

    /**
     * Returns for each server the change that every sidecar must have applied if it could reach its source since:
     * the newest one that is older than the allowed delay. It is 0 if there is none, and for servers that the
     * filter excludes.
     */
    public int[] requiredChanges(long nowNanos, IntPredicate serverFilter) {
        int[] required = new int[history.serverCount()];
        long latestNanos = nowNanos - budget.maxChangeDelayNanos();
        for (int server = 0; server < required.length; server++) {
            required[server] = serverFilter.test(server) ? history.latestChangeAt(server, latestNanos) : NO_CHANGE;
        }
        return required;
    }

    /**
     * Returns whether a sidecar has applied a required change or a newer one of the same server.
     *
     * @param currentChange the change of the sidecar's entry for the server
     * @param currentStatus the status of that entry
     */
    public boolean isApplied(int requiredChange, int currentChange, EndpointStatus currentStatus) {
        if (requiredChange == currentChange) {
            return requiredChange == NO_CHANGE || history.status(requiredChange) == currentStatus;
        }
        return requiredChange < currentChange;
    }

    /**
     * Reports that a sidecar lacks required changes.
     *
     * @param exampleChange one of the missing changes
     * @param missingCount the number of missing changes
     */
    public void changesMissing(int sidecar, int exampleChange, int missingCount, long nowNanos) {
        report(
                Rule.CHANGE_LATE,
                nowNanos,
                String.format(
                        Locale.ROOT,
                        "sidecar %d: change %d of %s not applied after %.1f s (changes missing: %d)",
                        sidecar,
                        exampleChange,
                        ServerNames.nameOf(history.server(exampleChange)),
                        (nowNanos - history.timeNanos(exampleChange)) / NANOS_PER_SECOND,
                        missingCount));
    }

    /**
     * Checks the rate of calls to a source; called for each call.
     *
     * @param source the source's name
     * @param callsInSecond the calls in the current second so far
     * @param callsPerSecond the source's capacity; 0 means unbounded
     */
    public void callReceived(String source, int callsInSecond, double callsPerSecond, long nowNanos) {
        if (callsPerSecond > 0 && callsInSecond == (int) callsPerSecond + 1) {
            report(
                    Rule.SERVING_RATE,
                    nowNanos,
                    source + ": at least " + callsInSecond + " calls within one second, capacity is " + callsPerSecond
                            + " calls per second");
        }
    }

    /** Checks the bytes that a sidecar read and wrote in the window; returns whether they exceed the budget. */
    public boolean trafficMeasured(int sidecar, long bytesInWindow, long nowNanos) {
        double bytesPerSecond = bytesInWindow / (double) budget.windowSeconds();
        if (bytesPerSecond <= budget.bytesPerSecond()) {
            return false;
        }
        report(
                Rule.CONTROL_BYTES,
                nowNanos,
                String.format(
                        Locale.ROOT,
                        "sidecar %d: %.0f bytes per second over %d s, budget is %.0f",
                        sidecar,
                        bytesPerSecond,
                        budget.windowSeconds(),
                        budget.bytesPerSecond()));
        return true;
    }

    private synchronized void report(Rule rule, long nowNanos, String description) {
        if (counts.merge(rule, 1, Integer::sum) <= MAX_EXAMPLES_PER_RULE) {
            examples.add(new Violation(rule, nowNanos, description));
        }
    }

    /** Returns the number of violations so far of each rule that was violated. */
    public synchronized Map<Rule, Integer> counts() {
        return new EnumMap<>(counts);
    }

    /** Returns the first few violations of each rule. */
    public synchronized List<Violation> examples() {
        return List.copyOf(examples);
    }
}
