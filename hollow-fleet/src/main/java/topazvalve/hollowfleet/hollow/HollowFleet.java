package topazvalve.hollowfleet.hollow;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;
import java.util.function.LongSupplier;
import topazvalve.hollowfleet.history.ChangeHistory;
import topazvalve.hollowfleet.oracle.FleetOracle;
import topazvalve.policy.SettingsReader;

/**
 * All hollow sidecars of a run, spread over several event loops. Methods must be called from a single thread, which
 * must not be the thread of one of these loops.
 */
public final class HollowFleet {
    private static final long SEED_MULTIPLIER = 31;
    private static final long START_SEED_STEP = 1_000_003;

    private final List<LoopMonitor> monitors = new ArrayList<>();
    private final List<HollowSidecar> sidecars = new ArrayList<>();
    private final EventLoopCpu loopCpu = new EventLoopCpu();
    private final long seed;
    private long startCount;

    /**
     * Creates sidecars that are down.
     *
     * @param loops the event loops to use
     * @param count the number of sidecars
     * @param placements the placement of each sidecar by its number
     * @param history all changes; those made before the sidecars are created are not measured
     * @param clock the clock of {@code history}, in nanoseconds
     * @param listCount the number of endpoint lists; servers are assigned to them in turn
     * @param seed the seed of all sidecars' random decisions
     */
    public HollowFleet(
            List<EventLoop> loops,
            int count,
            IntFunction<Placement> placements,
            ChangeHistory history,
            FleetOracle oracle,
            LongSupplier clock,
            int listCount,
            long seed) {
        this.seed = seed;
        SettingsReader settings = HollowSidecarSettings.reader();
        for (EventLoop loop : loops) {
            monitors.add(new LoopMonitor(loop, history, oracle, clock, listCount, history.changeCount()));
            loopCpu.add(loop);
        }
        for (int i = 0; i < count; i++) {
            LoopMonitor monitor = monitors.get(i % monitors.size());
            HollowSidecar sidecar =
                    new HollowSidecar(i, placements.apply(i), monitor.loop(), settings, clock, history, monitor);
            monitor.add(sidecar);
            sidecars.add(sidecar);
        }
        monitors.forEach(monitor -> await(monitor.loop().submit(monitor::start)));
    }

    private static <T> T await(Future<T> future) {
        try {
            return future.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** Runs a task on each event loop and waits for the results. */
    private <T> List<T> callOnLoops(Function<LoopMonitor, T> task) {
        List<Future<T>> results = new ArrayList<>();
        for (LoopMonitor monitor : monitors) {
            results.add(monitor.loop().submit((Callable<T>) () -> task.apply(monitor)));
        }
        return results.stream().map(HollowFleet::await).toList();
    }

    private void runOnLoops(Consumer<LoopMonitor> task) {
        callOnLoops(monitor -> {
            task.accept(monitor);
            return null;
        });
    }

    private void execute(int number, Consumer<HollowSidecar> task) {
        HollowSidecar sidecar = sidecars.get(number);
        sidecar.loop().execute(() -> task.accept(sidecar));
    }

    /** Returns the number of sidecars. */
    public int size() {
        return sidecars.size();
    }

    /** Starts a sidecar after a delay. Each start uses a different seed. */
    public void start(int number, InitialEndpointList initialList, long delayNanos) {
        startCount++;
        long startSeed = seed * SEED_MULTIPLIER + number + startCount * START_SEED_STEP;
        HollowSidecar sidecar = sidecars.get(number);
        sidecar.loop().execute(sidecar::startScheduled);
        sidecar.loop().schedule(() -> sidecar.start(startSeed, initialList), delayNanos, TimeUnit.NANOSECONDS);
    }

    /** Kills a sidecar. */
    public void kill(int number) {
        execute(number, HollowSidecar::kill);
    }

    /** Disables or enables a sidecar's reads; while they are disabled, it is not required to follow its list. */
    public void setReadingEnabled(int number, boolean enabled) {
        execute(number, sidecar -> {
            sidecar.setReadingEnabled(enabled);
            sidecar.setSourceReachable(enabled);
        });
    }

    /** Records whether the sidecars of some zones can reach a source or a relay from now on. */
    public void setSourceReachable(IntPredicate zones, boolean reachable) {
        runOnLoops(monitor -> {
            for (HollowSidecar sidecar : monitor.sidecars()) {
                if (zones.test(sidecar.zone())) {
                    sidecar.setSourceReachable(reachable);
                }
            }
        });
    }

    /** Returns the number of sidecars that have a pending start or lack a change that they could have applied. */
    public int countBehind() {
        return callOnLoops(LoopMonitor::countBehind).stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    /** Returns the number of the endpoint list that a sidecar follows. */
    public int list(int number) {
        return sidecars.get(number).list();
    }

    /** Returns the metrics since the previous call. */
    public HollowSidecarMetrics takeMetrics() {
        HollowSidecarMetrics sum = new HollowSidecarMetrics();
        callOnLoops(LoopMonitor::takeMetrics).forEach(sum::add);
        return sum;
    }

    /** Returns the CPU time of the event loops since their start, in nanoseconds, without garbage collection. */
    public long cpuNanos() {
        return loopCpu.totalNanos();
    }

    /** Kills all sidecars. */
    public void close() {
        runOnLoops(monitor -> monitor.sidecars().forEach(HollowSidecar::kill));
    }
}
