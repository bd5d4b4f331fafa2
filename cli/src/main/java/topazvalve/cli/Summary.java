package topazvalve.cli;

import java.io.PrintWriter;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.tally.Run;
import topazvalve.simulation.tally.RunStatistics;

/** Says in a few lines what came of a run. */
final class Summary {
    private static final int BREACHES = 10;

    private Summary() {}

    static void print(PrintWriter out, Scenario scenario, Run run) {
        RunStatistics tally = run.tally();
        RunStatistics.Sums sums = tally.sums();
        out.printf(
                Locale.ROOT,
                "%s, %s, seed %d: service %.4f (worst 10 s %.4f, worst class %.4f, goal %.4f)%n",
                run.scenario(),
                run.arm(),
                run.seed(),
                tally.service(),
                tally.worstWindow(),
                tally.worstClass(),
                tally.goal());
        for (int i = 0; i < scenario.classes().size(); i++) {
            Histogram latency = tally.latency(i);
            out.printf(
                    Locale.ROOT,
                    "  %-18s service %.4f  p50 %.1f ms  p99 %.1f ms  p99.9 %.1f ms%n",
                    scenario.classes().get(i).name(),
                    tally.service(i),
                    latency.getValueAtPercentile(50) / 1e6,
                    latency.getValueAtPercentile(99) / 1e6,
                    latency.getValueAtPercentile(99.9) / 1e6);
        }
        out.printf(
                "  asked %d, in time %d, late %d, refused %d, failed %d, unanswered %d%n",
                sums.asked(), sums.good(), sums.late(), sums.refused(), sums.failed(), sums.unanswered());
        out.printf(
                "  attempts %d, connections opened %d, probes %d, clients' retries %d%n",
                sums.attempts(), sums.connections(), sums.probes(), sums.retries());
        if (run.events() > 0) {
            out.printf(
                    Locale.ROOT,
                    "  %d tries in %.2f s: %.0f a second, %.1f events each; digest %08x%n",
                    run.requests(),
                    run.wallNanos() / 1e9,
                    run.requests() * 1e9 / run.wallNanos(),
                    (double) run.events() / Math.max(1, run.requests()),
                    run.digest());
        }
        out.println(run.clean() ? "  rules: all held" : "  RULES BROKEN: " + run.broken());
        run.breaches().stream().limit(BREACHES).forEach(each -> out.println("    " + each));
    }
}
