package topazvalve.capacity.measure;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import topazvalve.capacity.need.Quantity;
import topazvalve.capacity.plan.CapacityPlan;

/**
 * What a server in the list costs the packaged sidecar: it follows a stand-in source with lists of several
 * lengths. Whether a change is in force is asked at its operators' door, every millisecond or two; CPU is
 * taken while nobody asks.
 */
final class ListMeasurement {
    private static final int START_LIMIT_MS = 15_000;
    private static final int REST_MS = 2_000;
    private static final int LIMIT_MS = 10_000;
    private static final double MS = 1e6;
    private static final double PERCENT = 100;

    private final CapacityPlan plan;
    private final Path home;
    private final Path folder;
    private final boolean quick;
    private final Points points;

    ListMeasurement(CapacityPlan plan, Path home, Path folder, boolean quick, Points points) {
        this.plan = plan;
        this.home = home;
        this.folder = folder;
        this.quick = quick;
        this.points = points;
    }

    /** Lists up to the plan's size, and one beyond it in full form. */
    void run() throws IOException, InterruptedException {
        int most = plan.fleet().servers();
        int[] sizes = quick
                ? new int[] {most / 57, most / 4, most}
                : new int[] {most / 57, most / 12, most / 4, most / 2, most};
        for (int size : sizes) {
            try {
                at(size);
            } catch (IOException e) {
                points.say("  not measured with " + size + " servers: " + e.getMessage());
            }
        }
        bytes();
    }

    private void at(int servers) throws IOException, InterruptedException {
        points.part("packaged sidecar, " + servers + " servers listed");
        points.add(
                Quantity.LIST_BYTES, servers, ListText.whole(1, servers, false).length());
        long emptyMs = plan.source().emptyLineEvery() / 1_000_000;
        List<Double> starts = new ArrayList<>();
        List<Double> cpus = new ArrayList<>();
        for (int i = quick ? 1 : 3; i > 0; i--) {
            try (MeasuredServer source = MeasuredServer.source(servers, 0, 1000, emptyMs);
                    MeasuredSidecar sidecar = MeasuredSidecar.following(home, folder, source.port(), List.of())) {
                sidecar.awaitListed(servers, START_LIMIT_MS, 10);
                starts.add(sidecar.age() / 1e9);
                cpus.add(ProcessFigures.cpuNanos(sidecar.handle()) / 1e9);
                if (i == 1) {
                    points.add(Quantity.SIDECAR_START, servers, Points.median(starts));
                    points.add(Quantity.SIDECAR_START_CPU, servers, Points.median(cpus));
                    running(servers, source, sidecar);
                }
            }
        }
    }

    private void running(int servers, MeasuredServer source, MeasuredSidecar sidecar)
            throws IOException, InterruptedException {
        sidecar.awaitReady(START_LIMIT_MS);
        Thread.sleep(500);
        double rest = cpuPercent(sidecar, quick ? REST_MS : 3 * REST_MS);
        points.add(Quantity.SIDECAR_REST_CPU, servers, rest);
        changes(servers, source, sidecar, rest);
        if (servers == plan.fleet().servers()) {
            lines(servers, source, sidecar, rest);
        }
        points.add(Quantity.SIDECAR_RESIDENT, servers, ProcessFigures.residentMib(sidecar.pid()));
        points.add(Quantity.SIDECAR_HEAP, servers, ProcessFigures.liveHeapMib(sidecar.pid()));
    }

    private static double cpuPercent(MeasuredSidecar sidecar, int ms) throws IOException, InterruptedException {
        Map<String, Long> cpu = ProcessFigures.cpu(sidecar.pid());
        long begun = System.nanoTime();
        Thread.sleep(ms);
        return PERCENT * ProcessFigures.cpuSince(cpu, sidecar.pid()) / (System.nanoTime() - begun);
    }

    private void changes(int servers, MeasuredServer source, MeasuredSidecar sidecar, double rest)
            throws IOException, InterruptedException {
        points.add(Quantity.CHANGE_TIME, servers, time(servers, 1, sidecar, quick ? 6 : 30, () -> source.change(1)));
        points.add(
                Quantity.CHANGE_CPU,
                servers,
                cpu(servers, sidecar, rest, quick ? 40 : 200, 10, () -> source.change(1)));
        points.add(Quantity.LIST_TIME, servers, time(servers, 1, sidecar, quick ? 4 : 10, source::whole));
        points.add(Quantity.LIST_CPU, servers, cpu(servers, sidecar, rest, quick ? 4 : 20, 100, source::whole));
    }

    /** One line may tell of many servers: what each of them adds. */
    private void lines(int servers, MeasuredServer source, MeasuredSidecar sidecar, double rest)
            throws IOException, InterruptedException {
        for (int entries : lineSizes()) {
            points.add(
                    Quantity.LINE_TIME,
                    entries,
                    time(servers, entries, sidecar, quick ? 2 : 10, () -> source.change(entries)));
            points.add(
                    Quantity.LINE_CPU,
                    entries,
                    cpu(servers, sidecar, rest, quick ? 10 : 40, 25, () -> source.change(entries)));
        }
    }

    private int[] lineSizes() {
        return new int[] {1, 10, 100, plan.fleet().largestZone()};
    }

    /** Tells something that makes one server come or go. */
    private interface Telling {
        MeasuredServer.Told tell() throws IOException;
    }

    /** From the telling until it is in force, in milliseconds, the one in the middle. */
    private static double time(int servers, int entries, MeasuredSidecar sidecar, int times, Telling telling)
            throws IOException, InterruptedException {
        List<Double> found = new ArrayList<>();
        for (int i = 0; i < times; i++) {
            MeasuredServer.Told told = telling.tell();
            long inForce = sidecar.awaitListed(i % 2 == 0 ? servers + entries : servers, LIMIT_MS, 1);
            found.add((inForce - told.nanos()) / MS);
        }
        return Points.median(found);
    }

    /** CPU of one, in milliseconds, without what the sidecar takes at rest. */
    private static double cpu(
            int servers, MeasuredSidecar sidecar, double rest, int times, int pauseMs, Telling telling)
            throws IOException, InterruptedException {
        Map<String, Long> cpu = ProcessFigures.cpu(sidecar.pid());
        long begun = System.nanoTime();
        for (int i = 0; i < times; i++) {
            telling.tell();
            Thread.sleep(pauseMs);
        }
        sidecar.awaitListed(servers, LIMIT_MS, 5);
        double atRest = rest / PERCENT * (System.nanoTime() - begun);
        return Math.max(0, ProcessFigures.cpuSince(cpu, sidecar.pid()) - atRest) / times / MS;
    }

    private void bytes() {
        for (int entries : lineSizes()) {
            points.add(Quantity.LINE_BYTES, entries, chunk(entries));
            points.add(Quantity.CHANGE_BYTES, entries, entries * chunk(1));
        }
    }

    /** One line in its frame: the length in hexadecimal and two line ends. */
    private static int chunk(int entries) {
        int line = ListText.change(1_000_000, entries, true).length();
        return line + Integer.toHexString(line).length() + 4;
    }
}
