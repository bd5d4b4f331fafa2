package topazvalve.command;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import topazvalve.world.policy.Policy;
import topazvalve.world.scenario.Scenario;
import topazvalve.world.tally.Tally;
import topazvalve.world.virtual.Arm;
import topazvalve.world.virtual.Run;
import topazvalve.world.virtual.VirtualWorld;

/** Plays one scenario once, in virtual time. */
@Command(name = "world", description = "Plays one scenario in virtual time, and says what came of it.")
final class World implements Callable<Integer> {
    @Spec
    private CommandSpec spec;
    @Parameters(paramLabel = "FILE", description = "the scenario (.toml)")
    private Path file;
    @Option(names = "--seed", defaultValue = "1", description = "what all chance is drawn from (${DEFAULT-VALUE})")
    private long seed;
    @Option(names = "--policy", defaultValue = "module",
            description = "who decides: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private Policy policy;

    @Override
    public Integer call() {
        Scenario scenario = Input.scenario(file);
        Run run = new VirtualWorld(scenario, Arm.of(policy), seed).play();
        print(spec.commandLine().getOut(), scenario, run);
        return run.clean() ? ExitCode.DONE : ExitCode.FAILED;
    }

    private static void print(PrintWriter out, Scenario scenario, Run run) {
        Tally tally = run.tally();
        Tally.Sums sums = tally.sums();
        out.printf("%s, %s, seed %d: service %.4f (worst 10 s %.4f, worst class %.4f, goal %.4f)%n",
                run.scenario(), run.arm(), run.seed(), tally.service(), tally.worstWindow(), tally.worstClass(),
                tally.goal());
        for (int i = 0; i < scenario.classes().size(); i++) {
            var latency = tally.latency(i);
            out.printf("  %-18s service %.4f  p50 %.1f ms  p99 %.1f ms  p99.9 %.1f ms%n",
                    scenario.classes().get(i).name(), tally.service(i), latency.getValueAtPercentile(50) / 1e6,
                    latency.getValueAtPercentile(99) / 1e6, latency.getValueAtPercentile(99.9) / 1e6);
        }
        out.printf("  asked %d, in time %d, late %d, refused %d, failed %d, unanswered %d%n", sums.asked(),
                sums.good(), sums.late(), sums.refused(), sums.failed(), sums.unanswered());
        out.printf("  attempts %d, connections opened %d, probes %d, clients' retries %d%n", sums.attempts(),
                sums.connections(), sums.probes(), sums.retries());
        out.printf("  %d tries in %.2f s: %.0f a second, %.1f events each; digest %08x%n", run.requests(),
                run.wallNanos() / 1e9, run.requests() * 1e9 / run.wallNanos(),
                (double) run.events() / Math.max(1, run.requests()), run.digest());
        out.println(run.clean() ? "  rules: all held" : "  RULES BROKEN: " + run.broken());
        run.breaches().stream().limit(10).forEach(each -> out.println("    " + each));
    }
}
