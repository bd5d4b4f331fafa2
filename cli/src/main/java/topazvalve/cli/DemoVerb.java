package topazvalve.cli;

import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import topazvalve.simulation.scenario.Scenario;

/** Plays the scenario {@code demo.toml} on real sockets; the caller has no file to write first. */
@Command(
        name = "demo",
        description = {
            "Plays one minute on loopback: real sidecars between stand-in clients, " + "order servers and discovery,",
            "with a slow and a silent server, a drain and restarts. " + "Ends with 0 only if no rule was broken."
        })
final class DemoVerb extends Verb {
    private static final String SCENARIO = "simulation/scenarios/demo.toml";

    @Mixin
    private SeedOption seed;

    @Option(names = "--out", defaultValue = "found/demo", description = "where report and logs go (${DEFAULT-VALUE})")
    private Path out;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Scenario scenario = InputFiles.scenario(ProjectRoot.resolve(SCENARIO));
        return ExitCode.of(RealTimeRun.play(scenario, seed.value(), out, out()).allRulesHeld());
    }
}
