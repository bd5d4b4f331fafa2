package topazvalve.hollowfleet.run;

import java.io.PrintWriter;
import java.util.Locale;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import topazvalve.hollowfleet.hollow.HollowSidecarMetrics;
import topazvalve.hollowfleet.oracle.FleetBudget;
import topazvalve.hollowfleet.oracle.FleetOracle;
import topazvalve.hollowfleet.oracle.Violation;
import topazvalve.hollowfleet.run.StageResult.ProcessLoad;
import topazvalve.hollowfleet.run.StageResult.SourceLoad;
import topazvalve.hollowfleet.timeline.Timeline;

/** Prints the results of a run together with the budget of the timeline. */
public final class FleetReport {
    private static final double MICROS_PER_MILLI = 1e3;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double BYTES_PER_MB = 1e6;
    private static final double BYTES_PER_KIB = 1024;
    private static final double BYTES_PER_MIB = 1_048_576;
    private static final int MIB_SHIFT = 20;
    private static final double PERCENT = 100;
    /** The CPU budget of a sidecar for discovery, in percent of a core. */
    private static final double MAX_CORE_PERCENT = 2;

    private final Timeline timeline;
    private final PrintWriter out;

    /** Creates a report for a run of a timeline; prints nothing yet. */
    public FleetReport(Timeline timeline, PrintWriter out) {
        this.timeline = timeline;
        this.out = out;
    }

    private void print(String format, Object... arguments) {
        out.printf(Locale.ROOT, format, arguments);
    }

    /** Prints the size of the fleet and the budget, before the run starts. */
    public void printHeader(long seed) {
        Timeline.Size size = timeline.size();
        print(
                "%s: %d hollow sidecars, %d servers, %d sources%s, %d zones in %d regions, seed %d%n",
                timeline.name(),
                size.hollowSidecars(),
                size.servers(),
                size.sources(),
                describeCapacity(),
                size.zones(),
                size.regions(),
                seed);
        if (timeline.hasRelays()) {
            String location = timeline.relays().separateProcesses() ? "in separate processes" : "in this process";
            print(
                    "%d relays between sources and sidecars, %s%n",
                    timeline.relays().count(), location);
        }
        FleetBudget budget = timeline.budget();
        print(
                "budget: changes applied within %.1f s; %.0f bytes per second for discovery, "
                        + "averaged over %d s; %.1f%% of a core%n",
                budget.maxChangeDelayNanos() / NANOS_PER_SECOND,
                budget.bytesPerSecond(),
                budget.windowSeconds(),
                MAX_CORE_PERCENT);
        out.flush();
    }

    private String describeCapacity() {
        double callsPerSecond = timeline.source().callsPerSecond();
        return callsPerSecond == 0
                ? " with unbounded capacity"
                : String.format(Locale.ROOT, " with a capacity of %.1f calls per second", callsPerSecond);
    }

    /** Prints the result of a stage. */
    public void printStage(StageResult result) {
        print(
                "%n%s: %.1f s, %d changes, %d sidecars behind at the end%n",
                result.name(), result.seconds(), result.changes(), result.behind());
        printTimes("change applied", result.hollow().changeMicros());
        printTimes("  catch-up", result.hollow().catchUpMicros());
        printTimes("start to response", result.hollow().firstResponseMicros());
        printTimes("start to full list", result.hollow().fullListMicros());
        printSources(result.sources());
        printHollowSidecar(result);
        printPackagedSidecar(result.packaged());
        printRelays(result.relays());
        printCpuPressure(result.cpuPressure());
        printViolations(result);
        out.flush();
    }

    private void printTimes(String label, Histogram micros) {
        if (micros.getTotalCount() == 0) {
            return;
        }
        print(
                "  %-20s median %9.1f ms  99%% %9.1f ms  max %9.1f ms  (%d)%n",
                label,
                micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(99) / MICROS_PER_MILLI,
                micros.getMaxValue() / MICROS_PER_MILLI,
                micros.getTotalCount());
    }

    private void printSources(SourceLoad sources) {
        print(
                "  sources: %d calls, %d rejected, at most %d per second at one source; %.2f MB "
                        + "sent; busiest source %.2f cores%n",
                sources.calls(),
                sources.rejectedCalls(),
                sources.maxCallsPerSecond(),
                sources.sentBytes() / BYTES_PER_MB,
                sources.maxCores());
    }

    private void printHollowSidecar(StageResult result) {
        int count = timeline.size().hollowSidecars();
        HollowSidecarMetrics hollow = result.hollow();
        print(
                "  hollow sidecar: %.0f bytes per second (busiest window %.0f, busiest second "
                        + "%d); %.3f%% of a core; heap of this process %d MiB%n",
                hollow.bytes() / result.seconds() / count,
                hollow.maxBytesPerWindow() / (double) timeline.budget().windowSeconds(),
                hollow.maxBytesPerSecond(),
                PERCENT * result.hollowCores() / count,
                result.usedHeapMib());
    }

    private void printPackagedSidecar(ProcessLoad packaged) {
        if (packaged.maxResidentBytes() > 0) {
            print(
                    "  packaged sidecar: %.3f%% of a core; %.1f MiB resident%n",
                    PERCENT * packaged.cores(), packaged.maxResidentBytes() / BYTES_PER_MIB);
        }
    }

    private void printRelays(ProcessLoad relays) {
        if (timeline.hasRelays()) {
            print(
                    "  relays: %.2f cores in total; largest %d MiB resident%n",
                    relays.cores(), relays.maxResidentBytes() >> MIB_SHIFT);
        }
    }

    private void printCpuPressure(double cpuPressure) {
        if (cpuPressure >= 0) {
            print("  machine: some thread waited for a CPU for %.0f%% of the time%n", PERCENT * cpuPressure);
        }
    }

    private void printViolations(StageResult result) {
        if (!result.violations().isEmpty()) {
            out.println("  violations: "
                    + result.violations().entrySet().stream()
                            .map(violation -> violation.getKey() + " " + violation.getValue())
                            .collect(Collectors.joining(", ")));
        }
    }

    /** Prints the first violations of each rule, the memory usage of the run, and the number of violations. */
    public void printSummary(FleetOracle oracle) {
        out.println();
        for (Violation violation : oracle.examples()) {
            print(
                    "%8.1f s %s %s%n",
                    violation.timeNanos() / NANOS_PER_SECOND, violation.rule(), violation.description());
        }
        printMemory();
        out.println(oracle.counts().isEmpty() ? "oracle: no violations" : "oracle: " + oracle.counts());
        out.flush();
    }

    private void printMemory() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        double usedBytes = runtime.totalMemory() - runtime.freeMemory();
        print(
                "memory: %.0f MiB of heap in use after garbage collection, %.1f KiB per hollow "
                        + "sidecar; %d MiB resident in this process%n",
                usedBytes / BYTES_PER_MIB,
                usedBytes / BYTES_PER_KIB / timeline.size().hollowSidecars(),
                ProcFiles.residentBytes(ProcessHandle.current().pid()) >> MIB_SHIFT);
    }
}
