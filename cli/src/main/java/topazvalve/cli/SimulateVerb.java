package topazvalve.cli;

import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.statistics.RunResult;
import topazvalve.simulation.virtual.ExperimentArm;
import topazvalve.simulation.virtual.VirtualSimulation;

/** Runs one scenario once, in virtual or in real time. */
@Command(
        name = "simulate",
        aliases = "world",
        description = "Runs one scenario, in virtual time or on real sockets, and prints the result.")
final class SimulateVerb extends Verb {
    @Parameters(paramLabel = "FILE", description = "the scenario file (.toml)")
    private Path file;

    @Mixin
    private SeedOption seed;

    @Mixin
    private PolicyOption policy;

    @Option(names = "--real", description = "runs on real sockets, in real time, with the packaged sidecar")
    private boolean real;

    @Option(
            names = "--out",
            defaultValue = "found/world",
            description = "for --real: the directory of the report and the logs (${DEFAULT-VALUE})")
    private Path out;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Scenario scenario = InputFiles.scenario(file);
        RunResult run = real ? RealTimeRun.run(scenario, seed.value(), out, out()) : runInVirtualTime(scenario);
        return ExitCode.of(run.allRulesHeld());
    }

    private RunResult runInVirtualTime(Scenario scenario) {
        RunResult run = new VirtualSimulation(scenario, ExperimentArm.of(policy.value()), seed.value()).run();
        Summary.print(out(), scenario, run);
        return run;
    }
}
