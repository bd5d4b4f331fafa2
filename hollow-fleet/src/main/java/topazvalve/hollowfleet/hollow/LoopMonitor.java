package topazvalve.hollowfleet.hollow;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import topazvalve.hollowfleet.history.ChangeHistory;
import topazvalve.hollowfleet.oracle.EntryReplacement;
import topazvalve.hollowfleet.oracle.FleetOracle;

/**
 * Monitors the sidecars of one event loop: measures how long changes take to be applied and how many bytes the
 * sidecars read and write, and checks once a second whether a sidecar lacks a required change. Confined to that event
 * loop.
 */
final class LoopMonitor implements HollowSidecarListener {
    private static final long CHECK_INTERVAL_MILLIS = 1_000;

    private final EventLoop loop;
    private final ChangeHistory history;
    private final FleetOracle oracle;
    private final LongSupplier clock;
    private final ListChecker listChecker;
    private final int lastInitialChange;
    private final List<MonitoredSidecar> sidecars = new ArrayList<>();
    private HollowSidecarMetrics metrics = new HollowSidecarMetrics();
    private long checkCount;

    /** A sidecar, its traffic, and the kinds of violation reported since the metrics were last taken. */
    private static final class MonitoredSidecar {
        private final HollowSidecar sidecar;
        private final TrafficMeter traffic;
        private boolean trafficReported;
        private boolean missingChangesReported;

        MonitoredSidecar(HollowSidecar sidecar, int windowSeconds) {
            this.sidecar = sidecar;
            this.traffic = new TrafficMeter(windowSeconds);
        }
    }

    /**
     * Creates a monitor without sidecars.
     *
     * @param listCount the number of endpoint lists; servers are assigned to them in turn
     * @param lastInitialChange the last change made before the run; changes up to this one are not measured
     */
    LoopMonitor(
            EventLoop loop,
            ChangeHistory history,
            FleetOracle oracle,
            LongSupplier clock,
            int listCount,
            int lastInitialChange) {
        this.loop = loop;
        this.history = history;
        this.oracle = oracle;
        this.clock = clock;
        this.listChecker = new ListChecker(history, oracle, listCount);
        this.lastInitialChange = lastInitialChange;
    }

    EventLoop loop() {
        return loop;
    }

    List<HollowSidecar> sidecars() {
        return sidecars.stream().map(monitored -> monitored.sidecar).toList();
    }

    void add(HollowSidecar sidecar) {
        sidecars.add(new MonitoredSidecar(sidecar, oracle.budget().windowSeconds()));
    }

    /** Starts the periodic checks. */
    void start() {
        loop.scheduleAtFixedRate(this::check, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void entryReplaced(HollowSidecar sidecar, EntryReplacement entry) {
        long nowNanos = clock.getAsLong();
        oracle.entryReplaced(sidecar.number(), entry, nowNanos);
        if (sidecar.hasList()) {
            recordChanges(sidecar, entry, nowNanos);
        }
    }

    /** Records all changes after the old entry up to the new one, since the new entry supersedes those in between. */
    private void recordChanges(HollowSidecar sidecar, EntryReplacement entry, long nowNanos) {
        int lastKnownChange = Math.max(entry.oldChange(), lastInitialChange);
        int change = entry.newChange();
        while (change > lastKnownChange) {
            recordChange(history.timeNanos(change), sidecar.reachableSinceNanos(), nowNanos);
            change = history.previousChange(change);
        }
    }

    private void recordChange(long changedAtNanos, long reachableSinceNanos, long nowNanos) {
        if (changedAtNanos < reachableSinceNanos) {
            metrics.recordCatchUp(nowNanos - reachableSinceNanos);
        } else {
            metrics.recordChange(nowNanos - changedAtNanos);
        }
    }

    @Override
    public void listUpdated(HollowSidecar sidecar, boolean firstResponse, boolean firstList) {
        long nanosSinceStart = clock.getAsLong() - sidecar.reachableSinceNanos();
        if (firstResponse) {
            metrics.recordFirstResponse(nanosSinceStart);
        }
        if (firstList) {
            metrics.recordFullList(nanosSinceStart);
        }
    }

    private void check() {
        long nowNanos = clock.getAsLong();
        checkCount++;
        ListChecker.RequiredChanges requiredChanges = listChecker.requiredChanges(nowNanos);
        for (MonitoredSidecar monitored : sidecars) {
            checkTraffic(monitored, nowNanos);
            checkList(monitored, requiredChanges, nowNanos);
        }
    }

    private void checkTraffic(MonitoredSidecar monitored, long nowNanos) {
        HollowSidecar sidecar = monitored.sidecar;
        TrafficMeter traffic = monitored.traffic;
        int bytesInSecond = traffic.secondEnded(sidecar.trafficBytes(), checkCount);
        metrics.recordTraffic(bytesInSecond, traffic.bytesInWindow());
        if (!monitored.trafficReported) {
            monitored.trafficReported = oracle.trafficMeasured(sidecar.number(), traffic.bytesInWindow(), nowNanos);
        }
    }

    private void checkList(MonitoredSidecar monitored, ListChecker.RequiredChanges requiredChanges, long nowNanos) {
        HollowSidecar sidecar = monitored.sidecar;
        boolean reachableLongEnough =
                nowNanos - sidecar.reachableSinceNanos() > oracle.budget().maxChangeDelayNanos();
        if (sidecar.canFollow() && reachableLongEnough && !monitored.missingChangesReported) {
            monitored.missingChangesReported = requiredChanges.reportMissing(sidecar);
        }
    }

    /** Returns the number of sidecars that have a pending start or lack a change of their list. */
    int countBehind() {
        int behindCount = 0;
        for (MonitoredSidecar monitored : sidecars) {
            if (listChecker.isBehind(monitored.sidecar)) {
                behindCount++;
            }
        }
        return behindCount;
    }

    /** Returns the metrics since the previous call. Each sidecar's violations can then be reported once more. */
    HollowSidecarMetrics takeMetrics() {
        HollowSidecarMetrics taken = metrics;
        metrics = new HollowSidecarMetrics();
        for (MonitoredSidecar monitored : sidecars) {
            monitored.trafficReported = false;
            monitored.missingChangesReported = false;
        }
        return taken;
    }
}
