package topazvalve.hollowfleet.hollow;

import io.netty.channel.EventLoop;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import topazvalve.hollowfleet.oracle.FleetOracle;
import topazvalve.hollowfleet.truth.ChangeHistory;
import topazvalve.policy.SettingsReader;

/**
 * All hollow sidecars of a run, spread over some loops. Its methods are for one thread that is none of them:
 * each has the work done on the loops and waits for it.
 */
public final class HollowFleet {
    private static final SettingsReader OPTIONS = new SettingsReader(String.join(
            "\n",
            "discovery=subscribe",
            "quantum=5000000",
            "caps.tryLimit=4",
            "caps.connectTimeout=200000000",
            "caps.connIdle=5000000000",
            "rules.answerSlack=20000000",
            "rules.stopSendingWithin=500000000",
            "rules.coldShare=0.39",
            "rules.rampTime=7400000000",
            "rules.overloadFactor=4.0",
            "rules.tipAfter=3000000000",
            "rules.askWithin=10000000000",
            "profiles.count=1",
            "profiles.0.name=hollow",
            "profiles.0.slo=400000000",
            "profiles.0.deadline=1000000000",
            "profiles.0.semantics=repeatable"));

    private final List<LoopMonitor> sides = new ArrayList<>();
    private final List<HollowSidecar> instances = new ArrayList<>();
    private final List<Long> threads = new ArrayList<>();
    private final long seed;
    private long starts;

    /** Who serves an instance, and which source's servers it is owed. */
    public record Place(int zone, int source, Targets targets) {}

    /**
     * Makes {@code count} instances, none of them alive.
     *
     * @param lists how many lists there are: an instance is owed every so-manyth server, by its source
     */
    public HollowFleet(
            List<EventLoop> loops,
            int count,
            IntFunction<Place> places,
            ChangeHistory truth,
            FleetOracle oracle,
            LongSupplier clock,
            int lists,
            long seed) {
        this.seed = seed;
        for (EventLoop loop : loops) {
            LoopMonitor side = new LoopMonitor(loop, truth, oracle, clock, lists, truth.count());
            sides.add(side);
            threads.add(wait(loop.submit(() -> Thread.currentThread().getId())));
        }
        for (int i = 0; i < count; i++) {
            LoopMonitor side = sides.get(i % sides.size());
            Place place = places.apply(i);
            HollowSidecar made = new HollowSidecar(
                    i, place.zone, place.source, side.loop(), place.targets, OPTIONS, clock, truth, side.observer());
            side.add(made);
            instances.add(made);
        }
        sides.forEach(each -> wait(each.loop().submit(each::begin)));
    }

    private static <T> T wait(Future<T> future) {
        try {
            return future.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    private <T> List<T> onLoops(Function<LoopMonitor, T> work) {
        List<Future<T>> all = new ArrayList<>();
        for (LoopMonitor each : sides) {
            all.add(each.loop().submit((Callable<T>) () -> work.apply(each)));
        }
        return all.stream().map(HollowFleet::wait).toList();
    }

    private void on(int instance, Consumer<HollowSidecar> work) {
        HollowSidecar one = instances.get(instance);
        one.loop().execute(() -> work.accept(one));
    }

    public int size() {
        return instances.size();
    }

    /** Starts an instance some time from now, with what it is to know; a new life has a new seed. */
    public void start(int instance, Known known, long delayNanos) {
        long life = seed * 31 + instance + ++starts * 1_000_003L;
        HollowSidecar one = instances.get(instance);
        one.loop().execute(one::starting);
        one.loop().schedule(() -> one.start(life, known), delayNanos, TimeUnit.NANOSECONDS);
    }

    /** Kills an instance. */
    public void kill(int instance) {
        on(instance, HollowSidecar::kill);
    }

    /** From now on an instance reads what comes, or does not; while it does not, nothing is owed to it. */
    public void reading(int instance, boolean on) {
        on(instance, one -> {
            one.tap().reading(on);
            one.reachable(on);
        });
    }

    /** Notes for the instances of some zones whether who serves them can be reached. */
    public void reachable(Predicate<Integer> zones, boolean now) {
        onLoops(side -> {
            side.instances().stream().filter(each -> zones.test(each.zone())).forEach(each -> each.reachable(now));
            return null;
        });
    }

    /** How many lack some of what is true now, of those that are owed anything. */
    public int behind() {
        return onLoops(LoopMonitor::behind).stream().mapToInt(Integer::intValue).sum();
    }

    /** The source whose servers an instance is owed. */
    public int source(int instance) {
        return instances.get(instance).source();
    }

    /** What was measured since this was last asked. */
    public HollowMetrics figures() {
        HollowMetrics all = new HollowMetrics();
        onLoops(LoopMonitor::turn).forEach(all::add);
        return all;
    }

    /** CPU of the loops since they began, nanoseconds; what the collector took is not in it. */
    public long cpu() {
        return threads.stream()
                .mapToLong(each -> ManagementFactory.getThreadMXBean().getThreadCpuTime(each))
                .sum();
    }

    /** Ends all. */
    public void close() {
        onLoops(side -> {
            side.instances().forEach(HollowSidecar::kill);
            return null;
        });
    }
}
