package topazvalve.cli;

import java.io.PrintWriter;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.statistics.RunResult;
import topazvalve.simulation.statistics.RunStatistics;

/** Prints the result of one run in a few lines. */
final class Summary {
    private static final int MAX_VIOLATIONS = 10;
    private static final double NANOS_PER_MILLISECOND = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private Summary() {}

    static void print(PrintWriter out, Scenario scenario, RunResult run) {
        printService(out, run);
        for (int i = 0; i < scenario.classes().size(); i++) {
            printRequestClass(out, scenario.classes().get(i).name(), i, run.statistics());
        }
        printCounts(out, run.statistics().sums());
        if (run.clockEvents() > 0) {
            printVirtualTime(out, run);
        }
        out.println(run.allRulesHeld() ? "  rules: all held" : "  RULES BROKEN: " + run.violationCounts());
        run.violations().stream().limit(MAX_VIOLATIONS).forEach(violation -> out.println("    " + violation));
    }

    private static void printService(PrintWriter out, RunResult run) {
        RunStatistics statistics = run.statistics();
        out.printf(
                Locale.ROOT,
                "%s, %s, seed %d: service %.4f (worst 10 s %.4f, worst class %.4f, goal %.4f)%n",
                run.scenario(),
                run.arm(),
                run.seed(),
                statistics.service(),
                statistics.worstWindow(),
                statistics.worstClass(),
                statistics.goal());
    }

    private static void printRequestClass(PrintWriter out, String name, int index, RunStatistics statistics) {
        Histogram latency = statistics.latency(index);
        out.printf(
                Locale.ROOT,
                "  %-18s service %.4f  p50 %.1f ms  p99 %.1f ms  p99.9 %.1f ms%n",
                name,
                statistics.service(index),
                latency.getValueAtPercentile(50) / NANOS_PER_MILLISECOND,
                latency.getValueAtPercentile(99) / NANOS_PER_MILLISECOND,
                latency.getValueAtPercentile(99.9) / NANOS_PER_MILLISECOND);
    }

    private static void printCounts(PrintWriter out, RunStatistics.Sums sums) {
        out.printf(
                "  asked %d, in time %d, late %d, refused %d, failed %d, unanswered %d%n",
                sums.sent(), sums.inTime(), sums.late(), sums.rejected(), sums.failed(), sums.unanswered());
        out.printf(
                "  attempts %d, connections opened %d, probes %d, clients' retries %d%n",
                sums.attempts(), sums.connections(), sums.healthChecks(), sums.retries());
    }

    private static void printVirtualTime(PrintWriter out, RunResult run) {
        out.printf(
                Locale.ROOT,
                "  %d tries in %.2f s: %.0f a second, %.1f events each; digest %08x%n",
                run.requests(),
                run.wallNanos() / NANOS_PER_SECOND,
                run.requests() * NANOS_PER_SECOND / run.wallNanos(),
                (double) run.clockEvents() / Math.max(1, run.requests()),
                run.digest());
    }
}
