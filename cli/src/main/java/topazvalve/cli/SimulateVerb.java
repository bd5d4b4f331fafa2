package topazvalve.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import topazvalve.simulation.policy.Policy;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.tally.Run;
import topazvalve.simulation.virtual.ExperimentArm;
import topazvalve.simulation.virtual.VirtualWorld;

/** Plays one scenario once, on either clock. */
@Command(
        name = "world",
        description = "Plays one scenario, in virtual time or on real sockets, and says what came of it.")
final class SimulateVerb implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "the scenario (.toml)")
    private Path file;

    @Option(names = "--seed", defaultValue = "1", description = "what all chance is drawn from (${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--policy",
            defaultValue = "module",
            description = "who decides: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private Policy policy;

    @Option(names = "--real", description = "on real sockets, in real time, with the packaged sidecar")
    private boolean real;

    @Option(
            names = "--out",
            defaultValue = "found/world",
            description = "for --real: where report and logs go " + "(${DEFAULT-VALUE})")
    private Path out;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Scenario scenario = InputFiles.scenario(file);
        if (real) {
            return RealTimeRun.play(scenario, seed, out, spec.commandLine().getOut())
                            .clean()
                    ? ExitCode.DONE
                    : ExitCode.FAILED;
        }
        Run run = new VirtualWorld(scenario, ExperimentArm.of(policy), seed).play();
        Summary.print(spec.commandLine().getOut(), scenario, run);
        return run.clean() ? ExitCode.DONE : ExitCode.FAILED;
    }
}
