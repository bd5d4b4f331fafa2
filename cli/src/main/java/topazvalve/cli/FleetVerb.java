package topazvalve.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import topazvalve.hollowfleet.run.FleetReport;
import topazvalve.hollowfleet.run.FleetRun;
import topazvalve.hollowfleet.run.Preflight;
import topazvalve.hollowfleet.run.StageResult;
import topazvalve.hollowfleet.timeline.Timeline;

/** Runs a fleet of hollow sidecars and their sources of endpoint lists on loopback. */
@Command(
        name = "fleet",
        description = {
            "Runs a fleet's control plane on loopback: thousands of hollow sidecars and their sources.",
            "The sidecars follow the sources' endpoint lists through the events of a timeline.",
            "An oracle checks the rules."
        })
final class FleetVerb extends Verb {
    private static final String FULL_TIMELINE = "simulation/fleets/plan.toml";
    private static final String QUICK_TIMELINE = "simulation/fleets/quick.toml";

    /**
     * Loggers that are turned off, since thousands of sidecars log the same messages at every failure. The strong
     * references are needed: java.util.logging discards an unreferenced logger together with its level.
     */
    private static final List<Logger> REPETITIVE_LOGGERS =
            List.of(Logger.getLogger("discovery"), Logger.getLogger("source"), Logger.getLogger("relay"));

    @Parameters(
            paramLabel = "TIMELINE",
            arity = "0..1",
            description = "the timeline (.toml); default simulation/fleets/plan.toml, with --quick quick.toml there")
    private Path file;

    @Option(names = "--quick", description = "the short timeline: some hundred sidecars, under a minute")
    private boolean quick;

    @Mixin
    private SeedOption seed;

    @Option(
            names = "--packaged",
            defaultValue = "0",
            description = "additional packaged sidecars that follow the first source (${DEFAULT-VALUE})")
    private int packaged;

    @Override
    public Integer call() throws IOException {
        Timeline timeline = InputFiles.timeline(file != null ? file : defaultTimeline());
        List<String> missingResources = Preflight.check(timeline);
        if (!missingResources.isEmpty()) {
            throw new InvalidInputException(
                    "this machine lacks the resources for this timeline\n" + String.join("\n", missingResources));
        }
        REPETITIVE_LOGGERS.forEach(logger -> logger.setLevel(Level.OFF));
        FleetReport report = new FleetReport(timeline, out());
        report.printHeader(seed.value());
        try (FleetRun run = new FleetRun(timeline, seed.value(), ProjectRoot.path(), packaged)) {
            boolean clean = run.run(report::printStage).stream().allMatch(StageResult::isClean);
            report.printSummary(run.oracle());
            return ExitCode.of(clean);
        }
    }

    private Path defaultTimeline() {
        return ProjectRoot.resolve(quick ? QUICK_TIMELINE : FULL_TIMELINE);
    }
}
