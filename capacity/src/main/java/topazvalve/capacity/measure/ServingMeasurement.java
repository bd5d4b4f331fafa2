package topazvalve.capacity.measure;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import topazvalve.capacity.need.Quantity;
import topazvalve.capacity.plan.CapacityPlan;

/**
 * What a watch, a change and a mass of calls cost who serves lists: plain clients of this process on a server
 * process of its own. Kernel memory of the sockets is in none of the figures.
 */
final class ServingMeasurement {
    private static final int LOOPS = 2;
    private static final int WARM = 40;
    private static final double MS = 1e6;
    private static final double PERCENT = 100;
    private static final long SEED = 23;
    private static final String RELAY_JAR = "relay/target/topazvalve-relay.jar";

    private final CapacityPlan plan;
    private final Path home;
    private final Path folder;
    private final boolean quick;
    private final Points points;
    private final long emptyMs;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory());

    ServingMeasurement(CapacityPlan plan, Path home, Path folder, boolean quick, Points points) {
        this.plan = plan;
        this.home = home;
        this.folder = folder;
        this.quick = quick;
        this.points = points;
        this.emptyMs = plan.source().emptyLineEvery() / 1_000_000;
    }

    void run() throws IOException, InterruptedException {
        try {
            try (MeasuredServer source = MeasuredServer.source(plan.fleet().servers(), 0, 1000, emptyMs)) {
                watches(Role.SOURCE, source, source.port(), source.pid());
                lists(Role.SOURCE, source.port(), source.pid());
            }
            bound();
            relay();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** Who serves: the source itself, or a relay that follows it. */
    private record Role(
            String name,
            Quantity heap,
            Quantity memory,
            Quantity restCpu,
            Quantity restBytes,
            Quantity changeTime,
            Quantity changeCpu,
            Quantity listsTime,
            Quantity listsCpu) {
        static final Role SOURCE = new Role(
                "stand-in source without a bound",
                Quantity.SOURCE_HEAP,
                Quantity.SOURCE_MEMORY,
                Quantity.SOURCE_REST_CPU,
                Quantity.SOURCE_REST_BYTES,
                Quantity.SOURCE_CHANGE_TIME,
                Quantity.SOURCE_CHANGE_CPU,
                Quantity.SOURCE_LISTS_TIME,
                Quantity.SOURCE_LISTS_CPU);
        static final Role RELAY = new Role(
                "relay that follows a stand-in source",
                Quantity.RELAY_HEAP,
                Quantity.RELAY_MEMORY,
                Quantity.RELAY_REST_CPU,
                Quantity.RELAY_REST_BYTES,
                Quantity.RELAY_CHANGE_TIME,
                Quantity.RELAY_CHANGE_CPU,
                Quantity.RELAY_LISTS_TIME,
                Quantity.RELAY_LISTS_CPU);
    }

    private void relay() throws IOException, InterruptedException {
        Path jar = home.resolve(RELAY_JAR);
        if (!Files.isRegularFile(jar)) {
            points.say("no relay is built here: not measured, reckoned by the source's slopes");
            return;
        }
        try (MeasuredServer source = MeasuredServer.source(plan.fleet().servers(), 0, 1000, emptyMs);
                RelayProcess relay = new RelayProcess(jar, folder, source.port())) {
            // The first whole list that it serves says that it has one.
            Fetchers.run(group, relay.port(), 1, SEED, 30);
            watches(Role.RELAY, source, relay.port(), relay.pid());
            lists(Role.RELAY, relay.port(), relay.pid());
        }
    }

    private void watches(Role role, MeasuredServer source, int port, long pid)
            throws IOException, InterruptedException {
        int each = plan.watchesPerMachine();
        int[] sizes =
                quick ? new int[] {each / 4, each, 6 * each} : new int[] {each / 4, each, 2 * each, 4 * each, 8 * each};
        points.part(role.name() + ", " + plan.fleet().servers() + " servers listed, watches held");
        try (Watchers watchers = new Watchers(group, port)) {
            watchers.open(sizes[0], 1);
            // A process that has just started compiles its code while it tells the first changes.
            long rev = 1;
            for (int i = 0; i < WARM; i++) {
                rev = tell(source, watchers).rev();
            }
            for (int size : sizes) {
                watchers.open(size - watchers.held(), rev);
                rev = at(role, size, source, watchers, pid);
            }
        }
    }

    private long at(Role role, int size, MeasuredServer source, Watchers watchers, long pid)
            throws IOException, InterruptedException {
        points.add(role.heap(), size, ProcessFigures.liveHeapMib(pid));
        points.add(role.memory(), size, ProcessFigures.residentMib(pid));
        long bytes = watchers.bytes();
        Map<String, Long> cpu = ProcessFigures.cpu(pid);
        long begun = System.nanoTime();
        Thread.sleep(quick ? emptyMs : 3 * emptyMs);
        double took = System.nanoTime() - begun;
        double rest = ProcessFigures.cpuSince(cpu, pid) / took;
        points.add(role.restCpu(), size, PERCENT * rest);
        points.add(role.restBytes(), size, (watchers.bytes() - bytes) * 1e9 / took / size);
        long rev = 0;
        int times = quick ? 10 : 30;
        List<Double> lasts = new ArrayList<>();
        cpu = ProcessFigures.cpu(pid);
        begun = System.nanoTime();
        for (int i = 0; i < times; i++) {
            MeasuredServer.Told told = tell(source, watchers);
            rev = told.rev();
            lasts.add((told.last() - told.nanos()) / MS);
        }
        double changed = ProcessFigures.cpuSince(cpu, pid) - rest * (System.nanoTime() - begun);
        points.add(role.changeTime(), size, Points.median(lasts));
        points.add(role.changeCpu(), size, Math.max(0, changed) / times / MS);
        return rev;
    }

    private static MeasuredServer.Told tell(MeasuredServer source, Watchers watchers)
            throws IOException, InterruptedException {
        watchers.expect();
        MeasuredServer.Told told = source.change(1);
        return told.until(watchers.awaitLast());
    }

    private void lists(Role role, int port, long pid) throws IOException, InterruptedException {
        int each = plan.watchesPerMachine();
        int[] sizes =
                quick ? new int[] {each / 8, each / 2, each} : new int[] {each / 8, each / 4, each / 2, each, 2 * each};
        points.part(role.name() + ", " + plan.fleet().servers() + " servers listed, whole lists at once");
        Fetchers.run(group, port, each / 8, SEED, 30);
        for (int size : sizes) {
            Map<String, Long> cpu = ProcessFigures.cpu(pid);
            points.add(role.listsTime(), size, Fetchers.run(group, port, size, SEED, 60));
            points.add(role.listsCpu(), size, ProcessFigures.cpuSince(cpu, pid) / 1e9);
        }
    }

    private void bound() throws IOException, InterruptedException {
        double rate = (plan.source().callsPerSecond().low()
                        + plan.source().callsPerSecond().high())
                / 2;
        int[] sizes = quick ? new int[] {2, 4, 8} : new int[] {6, 12, 24, 48};
        points.part("stand-in source that answers " + rate + " calls a second, whole lists at once");
        try (MeasuredServer source = MeasuredServer.source(
                plan.fleet().servers(), rate, plan.source().timeout() / 1_000_000, emptyMs)) {
            for (int size : sizes) {
                points.add(Quantity.BOUND_LISTS_TIME, size, Fetchers.run(group, source.port(), size, SEED, 120));
                points.add(Quantity.BOUND_LISTS_CALLS, size, source.calls());
            }
        }
    }
}
