package topazvalve.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import topazvalve.simulation.scenario.Scenario;

/** Shows the whole thing at work, with no file to write first. */
@Command(
        name = "demo",
        description = {
            "Plays one minute on loopback: real sidecars between stand-in clients, " + "order servers and discovery,",
            "with a slow and a silent server, a drain and restarts. " + "Ends with 0 only if no rule was broken."
        })
final class DemoVerb implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--seed", defaultValue = "1", description = "what all chance is drawn from (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--out", defaultValue = "found/demo", description = "where report and logs go (${DEFAULT-VALUE})")
    private Path out;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Scenario scenario = InputFiles.scenario(RealTimeRun.home().resolve("simulation/scenarios/demo.toml"));
        return RealTimeRun.play(scenario, seed, out, spec.commandLine().getOut())
                        .clean()
                ? ExitCode.DONE
                : ExitCode.FAILED;
    }
}
