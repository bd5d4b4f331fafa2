package topazvalve.hollowfleet.run;

import java.io.PrintWriter;
import java.util.Locale;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import topazvalve.hollowfleet.oracle.FleetOracle;
import topazvalve.hollowfleet.timeline.Timeline;

/** Says what came of each stage, beside what the plan allows. */
public final class FleetReport {
    private static final double MILLIS = 1e3;
    /** What a sidecar may spend of a core for control. */
    private static final double CORE_PERCENT = 2;

    private final Timeline timeline;
    private final PrintWriter out;

    public FleetReport(Timeline timeline, PrintWriter out) {
        this.timeline = timeline;
        this.out = out;
    }

    /** What is about to be played. */
    public void begin(long seed) {
        Timeline.Size size = timeline.size();
        out.printf(
                Locale.ROOT,
                "%s: %d hollow sidecars, %d servers, %d sources%s, %d zones in %d regions, " + "seed %d%n",
                timeline.name(),
                size.hollow(),
                size.servers(),
                size.sources(),
                timeline.source().capacity() == 0
                        ? " of unbounded capacity"
                        : String.format(
                                Locale.ROOT,
                                " of %.1f calls a second",
                                timeline.source().capacity()),
                size.zones(),
                size.regions(),
                seed);
        if (timeline.relays().count() > 0) {
            out.printf(
                    Locale.ROOT,
                    "%d relays between them, %s%n",
                    timeline.relays().count(),
                    timeline.relays().processes() ? "each a process" : "in this process");
        }
        out.printf(
                Locale.ROOT,
                "allowed: a change in force within %.1f s; %.0f bytes a second for control "
                        + "over %d s; %.1f%% of a core%n",
                timeline.allowed().late() / 1e9,
                timeline.allowed().bytesPerSecond(),
                timeline.allowed().windowSeconds(),
                CORE_PERCENT);
        out.flush();
    }

    /** What came of a stage. */
    public void stage(StageResult result) {
        int count = timeline.size().hollow();
        out.printf(
                Locale.ROOT,
                "%n%s: %.1f s, %d changes, %d behind at its end%n",
                result.name(),
                result.seconds(),
                result.made(),
                result.behind());
        times("change in force", result.figures().changes());
        times("  made out of reach", result.figures().caughtUp());
        times("start to answer", result.figures().answers());
        times("start to whole list", result.figures().lists());
        out.printf(
                Locale.ROOT,
                "  sources: %d calls, %d of them refused, %d in the busiest second; %.2f MB "
                        + "sent; %.2f cores the busiest%n",
                result.calls(),
                result.refused(),
                result.busiest(),
                result.sent() / 1e6,
                result.sourceCores());
        out.printf(
                Locale.ROOT,
                "  a hollow one: %.0f bytes a second (busiest window %.0f, busiest second "
                        + "%d); %.3f%% of a core; heap of all %d MB%n",
                result.figures().bytes() / result.seconds() / count,
                result.figures().busiestWindow() / (double) timeline.allowed().windowSeconds(),
                result.figures().busiestSecond(),
                100 * result.hollowCores() / count,
                result.heapMb());
        if (result.packagedBytes() > 0) {
            out.printf(
                    Locale.ROOT,
                    "  a packaged one: %.3f%% of a core; %.1f MB resident%n",
                    100 * result.packagedCores(),
                    result.packagedBytes() / 1048576.0);
        }
        if (timeline.relays().count() > 0) {
            out.printf(
                    Locale.ROOT,
                    "  relays: %.2f cores in all; the largest has %d MB%n",
                    result.relayCores(),
                    result.relayBytes() >> 20);
        }
        if (result.starved() >= 0) {
            out.printf(
                    Locale.ROOT,
                    "  machine: something waited for a processor for %.0f%% of the time%n",
                    100 * result.starved());
        }
        if (!result.found().isEmpty()) {
            out.println("  found: "
                    + result.found().entrySet().stream()
                            .map(each -> each.getKey() + " " + each.getValue())
                            .collect(Collectors.joining(", ")));
        }
        out.flush();
    }

    private void times(String what, Histogram micros) {
        if (micros.getTotalCount() > 0) {
            out.printf(
                    Locale.ROOT,
                    "  %-20s median %9.1f ms  99%% %9.1f ms  last %9.1f ms  (%d)%n",
                    what,
                    micros.getValueAtPercentile(50) / MILLIS,
                    micros.getValueAtPercentile(99) / MILLIS,
                    micros.getMaxValue() / MILLIS,
                    micros.getTotalCount());
        }
    }

    /** The verdict, with the first few findings of each rule. */
    public void end(FleetOracle oracle) {
        out.println();
        for (FleetOracle.Finding each : oracle.examples()) {
            out.printf(Locale.ROOT, "%8.1f s %s %s%n", each.at() / 1e9, each.rule(), each.text());
        }
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        double heap = runtime.totalMemory() - runtime.freeMemory();
        out.printf(
                Locale.ROOT,
                "memory: %.0f MB of heap in use after a collection, %.1f KB for each hollow "
                        + "one; this process has %d MB resident%n",
                heap / 1048576,
                heap / 1024 / timeline.size().hollow(),
                RelayProcesses.resident(ProcessHandle.current().pid()) >> 20);
        out.println(oracle.counts().isEmpty() ? "oracle: no rule was broken" : "oracle: " + oracle.counts());
        out.flush();
    }
}
