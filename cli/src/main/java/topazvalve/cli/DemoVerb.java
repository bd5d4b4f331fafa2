package topazvalve.cli;

import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import topazvalve.simulation.scenario.Scenario;

/** Runs the built-in scenario {@code demo.toml} on real sockets, so that no scenario file is needed. */
@Command(
        name = "demo",
        description = {
            "Runs real sidecars for one minute on loopback, between stand-in clients, order servers and discovery.",
            "The scenario has a slow and an unresponsive server, a drain and restarts.",
            "The exit code is 0 only if no rule was broken."
        })
final class DemoVerb extends Verb {
    private static final String SCENARIO = "simulation/scenarios/demo.toml";

    @Mixin
    private SeedOption seed;

    @Option(
            names = "--out",
            defaultValue = "found/demo",
            description = "the directory of the report and the logs (${DEFAULT-VALUE})")
    private Path out;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Scenario scenario = InputFiles.scenario(ProjectRoot.resolve(SCENARIO));
        return ExitCode.of(RealTimeRun.run(scenario, seed.value(), out, out()).allRulesHeld());
    }
}
