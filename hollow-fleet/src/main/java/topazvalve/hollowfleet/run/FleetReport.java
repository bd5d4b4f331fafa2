package topazvalve.hollowfleet.run;

import java.io.PrintWriter;
import java.util.Locale;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import topazvalve.hollowfleet.hollow.HollowMetrics;
import topazvalve.hollowfleet.oracle.FleetBudget;
import topazvalve.hollowfleet.oracle.FleetOracle;
import topazvalve.hollowfleet.oracle.Violation;
import topazvalve.hollowfleet.run.StageResult.ProcessLoad;
import topazvalve.hollowfleet.run.StageResult.SourceLoad;
import topazvalve.hollowfleet.timeline.Timeline;

/** Prints the results of a run, beside what the timeline allows. */
public final class FleetReport {
    private static final double MICROS_PER_MILLI = 1e3;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double BYTES_PER_MB = 1e6;
    private static final double BYTES_PER_KIB = 1024;
    private static final double BYTES_PER_MIB = 1_048_576;
    private static final int MIB_SHIFT = 20;
    private static final double PERCENT = 100;
    /** What a sidecar may use of a core for discovery. */
    private static final double ALLOWED_CORE_PERCENT = 2;

    private final Timeline timeline;
    private final PrintWriter out;

    /** Creates a report of a timeline's run that has printed nothing. */
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
            String where = timeline.relays().separateProcesses() ? "each a process" : "in this process";
            print("%d relays between them, %s%n", timeline.relays().count(), where);
        }
        FleetBudget budget = timeline.budget();
        print(
                "allowed: a change in force within %.1f s; %.0f bytes a second for control "
                        + "over %d s; %.1f%% of a core%n",
                budget.maxChangeDelayNanos() / NANOS_PER_SECOND,
                budget.bytesPerSecond(),
                budget.windowSeconds(),
                ALLOWED_CORE_PERCENT);
        out.flush();
    }

    private String describeCapacity() {
        double callsPerSecond = timeline.source().callsPerSecond();
        return callsPerSecond == 0
                ? " of unbounded capacity"
                : String.format(Locale.ROOT, " of %.1f calls a second", callsPerSecond);
    }

    /** Prints the result of a stage. */
    public void printStage(StageResult result) {
        print(
                "%n%s: %.1f s, %d changes, %d behind at its end%n",
                result.name(), result.seconds(), result.changes(), result.behind());
        printTimes("change in force", result.hollow().changeMicros());
        printTimes("  made out of reach", result.hollow().catchUpMicros());
        printTimes("start to answer", result.hollow().firstResponseMicros());
        printTimes("start to whole list", result.hollow().fullListMicros());
        printSources(result.sources());
        printHollowSidecar(result);
        printPackagedSidecar(result.packaged());
        printRelays(result.relays());
        printCpuPressure(result.cpuPressure());
        printViolations(result);
        out.flush();
    }

    private void printTimes(String what, Histogram micros) {
        if (micros.getTotalCount() == 0) {
            return;
        }
        print(
                "  %-20s median %9.1f ms  99%% %9.1f ms  last %9.1f ms  (%d)%n",
                what,
                micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(99) / MICROS_PER_MILLI,
                micros.getMaxValue() / MICROS_PER_MILLI,
                micros.getTotalCount());
    }

    private void printSources(SourceLoad sources) {
        print(
                "  sources: %d calls, %d of them refused, %d in the busiest second; %.2f MB "
                        + "sent; %.2f cores the busiest%n",
                sources.calls(),
                sources.rejectedCalls(),
                sources.maxCallsPerSecond(),
                sources.sentBytes() / BYTES_PER_MB,
                sources.maxCores());
    }

    private void printHollowSidecar(StageResult result) {
        int count = timeline.size().hollowSidecars();
        HollowMetrics hollow = result.hollow();
        print(
                "  a hollow one: %.0f bytes a second (busiest window %.0f, busiest second "
                        + "%d); %.3f%% of a core; heap of all %d MB%n",
                hollow.bytes() / result.seconds() / count,
                hollow.maxBytesPerWindow() / (double) timeline.budget().windowSeconds(),
                hollow.maxBytesPerSecond(),
                PERCENT * result.hollowCores() / count,
                result.usedHeapMib());
    }

    private void printPackagedSidecar(ProcessLoad packaged) {
        if (packaged.maxResidentBytes() > 0) {
            print(
                    "  a packaged one: %.3f%% of a core; %.1f MB resident%n",
                    PERCENT * packaged.cores(), packaged.maxResidentBytes() / BYTES_PER_MIB);
        }
    }

    private void printRelays(ProcessLoad relays) {
        if (timeline.hasRelays()) {
            print(
                    "  relays: %.2f cores in all; the largest has %d MB%n",
                    relays.cores(), relays.maxResidentBytes() >> MIB_SHIFT);
        }
    }

    private void printCpuPressure(double cpuPressure) {
        if (cpuPressure >= 0) {
            print("  machine: something waited for a processor for %.0f%% of the time%n", PERCENT * cpuPressure);
        }
    }

    private void printViolations(StageResult result) {
        if (!result.violations().isEmpty()) {
            out.println("  found: "
                    + result.violations().entrySet().stream()
                            .map(violation -> violation.getKey() + " " + violation.getValue())
                            .collect(Collectors.joining(", ")));
        }
    }

    /** Prints the first violations of each rule, the memory that the run uses, and the verdict. */
    public void printSummary(FleetOracle oracle) {
        out.println();
        for (Violation violation : oracle.examples()) {
            print(
                    "%8.1f s %s %s%n",
                    violation.timeNanos() / NANOS_PER_SECOND, violation.rule(), violation.description());
        }
        printMemory();
        out.println(oracle.counts().isEmpty() ? "oracle: no rule was broken" : "oracle: " + oracle.counts());
        out.flush();
    }

    private void printMemory() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        double usedBytes = runtime.totalMemory() - runtime.freeMemory();
        print(
                "memory: %.0f MB of heap in use after a collection, %.1f KB for each hollow "
                        + "one; this process has %d MB resident%n",
                usedBytes / BYTES_PER_MIB,
                usedBytes / BYTES_PER_KIB / timeline.size().hollowSidecars(),
                ProcFiles.residentBytes(ProcessHandle.current().pid()) >> MIB_SHIFT);
    }
}
