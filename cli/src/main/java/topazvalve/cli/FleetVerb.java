package topazvalve.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.logging.Level;
import java.util.logging.Logger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import topazvalve.hollowfleet.run.FleetReport;
import topazvalve.hollowfleet.run.FleetRun;
import topazvalve.hollowfleet.run.Preflight;
import topazvalve.hollowfleet.run.StageResult;
import topazvalve.hollowfleet.timeline.Timeline;
import topazvalve.hollowfleet.timeline.TimelineFile;
import topazvalve.toml.InvalidFileException;

/** Plays a fleet of hollow sidecars and their sources of lists on loopback. */
@Command(
        name = "fleet",
        description = {
            "Plays a fleet's control plane on loopback: thousands of hollow sidecars that follow lists,",
            "the sources of these lists, and what happens to both; an oracle watches."
        })
final class FleetVerb implements Callable<Integer> {
    /** Thousands of sidecars say the same of every failure; kept, or the level would be forgotten. */
    private static final List<Logger> TALKERS =
            List.of(Logger.getLogger("discovery"), Logger.getLogger("source"), Logger.getLogger("relay"));

    @Spec
    private CommandSpec spec;

    @Parameters(
            paramLabel = "TIMELINE",
            arity = "0..1",
            description = "what happens (.toml); simulation/fleets/plan.toml, or quick.toml there for --quick")
    private Path file;

    @Option(names = "--quick", description = "the short form: some hundred sidecars, under a minute")
    private boolean quick;

    @Option(names = "--seed", defaultValue = "1", description = "what all chance is drawn from (${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--packaged",
            defaultValue = "0",
            description = "packaged sidecars that follow the first source beside them (${DEFAULT-VALUE})")
    private int packaged;

    @Override
    public Integer call() throws IOException {
        Timeline timeline = timeline();
        List<String> wanting = Preflight.check(timeline);
        if (!wanting.isEmpty()) {
            throw new InvalidInputException("this machine has no room for it\n" + String.join("\n", wanting), null);
        }
        PrintWriter out = spec.commandLine().getOut();
        TALKERS.forEach(each -> each.setLevel(Level.OFF));
        FleetReport report = new FleetReport(timeline, out);
        report.begin(seed);
        try (FleetRun run = new FleetRun(timeline, seed, RealTimeRun.home(), packaged)) {
            boolean clean = run.play(report::stage).stream().allMatch(StageResult::clean);
            report.end(run.oracle());
            return clean ? ExitCode.DONE : ExitCode.FAILED;
        }
    }

    private Timeline timeline() throws IOException {
        Path named = file != null
                ? file
                : RealTimeRun.home().resolve(quick ? "simulation/fleets/quick.toml" : "simulation/fleets/plan.toml");
        InputFiles.requireFile(named);
        try {
            return TimelineFile.read(named);
        } catch (InvalidFileException e) {
            throw new InvalidInputException(e.getMessage(), e);
        }
    }
}
