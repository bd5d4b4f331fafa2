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
 * Observes the sidecars of one event loop: how long changes take to be in force, what the sidecars read and write,
 * and once a second whether they lack a change that they have to have. Used on that event loop alone.
 */
final class LoopMonitor implements HollowListener {
    private static final long CHECK_INTERVAL_MILLIS = 1_000;

    private final EventLoop loop;
    private final ChangeHistory history;
    private final FleetOracle oracle;
    private final LongSupplier clock;
    private final ListChecker listChecker;
    private final int lastInitialChange;
    private final List<MonitoredSidecar> sidecars = new ArrayList<>();
    private HollowMetrics metrics = new HollowMetrics();
    private long checks;

    /** A sidecar, its traffic, and which violations were reported since the metrics were last taken. */
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
     * @param lastInitialChange the last change that was made before the run and is not measured
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

    /** Starts the checks. */
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

    /** Records all changes between old and new entry: the newest one replaces the others. */
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
        checks++;
        ListChecker.RequiredChanges requiredChanges = listChecker.requiredChanges(nowNanos);
        for (MonitoredSidecar monitored : sidecars) {
            checkTraffic(monitored, nowNanos);
            checkList(monitored, requiredChanges, nowNanos);
        }
    }

    private void checkTraffic(MonitoredSidecar monitored, long nowNanos) {
        HollowSidecar sidecar = monitored.sidecar;
        TrafficMeter traffic = monitored.traffic;
        int bytesInSecond = traffic.secondEnded(sidecar.trafficBytes(), checks);
        metrics.recordTraffic(bytesInSecond, traffic.bytesInWindow());
        if (!monitored.trafficReported) {
            monitored.trafficReported = oracle.trafficMeasured(sidecar.number(), traffic.bytesInWindow(), nowNanos);
        }
    }

    private void checkList(MonitoredSidecar monitored, ListChecker.RequiredChanges requiredChanges, long nowNanos) {
        HollowSidecar sidecar = monitored.sidecar;
        boolean reachableLongEnough =
                nowNanos - sidecar.reachableSinceNanos() > oracle.budget().maxChangeDelayNanos();
        if (sidecar.hasToFollow() && reachableLongEnough && !monitored.missingChangesReported) {
            monitored.missingChangesReported = requiredChanges.reportMissing(sidecar);
        }
    }

    /** Returns the number of sidecars that are about to start or lack a change of their list. */
    int countBehind() {
        int behind = 0;
        for (MonitoredSidecar monitored : sidecars) {
            if (listChecker.isBehind(monitored.sidecar)) {
                behind++;
            }
        }
        return behind;
    }

    /** Returns the metrics since this was last called; each sidecar may violate each rule once again. */
    HollowMetrics takeMetrics() {
        HollowMetrics taken = metrics;
        metrics = new HollowMetrics();
        for (MonitoredSidecar monitored : sidecars) {
            monitored.trafficReported = false;
            monitored.missingChangesReported = false;
        }
        return taken;
    }
}
