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

/** Plays a fleet of hollow sidecars and their sources of endpoint lists on loopback. */
@Command(
        name = "fleet",
        description = {
            "Plays a fleet's control plane on loopback: thousands of hollow sidecars that follow lists,",
            "the sources of these lists, and what happens to both; an oracle watches."
        })
final class FleetVerb extends Verb {
    private static final String FULL_TIMELINE = "simulation/fleets/plan.toml";
    private static final String QUICK_TIMELINE = "simulation/fleets/quick.toml";

    /**
     * Thousands of sidecars log the same of every failure. The references are strong, since the logging library
     * forgets a logger, and its level, that nobody refers to.
     */
    private static final List<Logger> REPETITIVE_LOGGERS =
            List.of(Logger.getLogger("discovery"), Logger.getLogger("source"), Logger.getLogger("relay"));

    @Parameters(
            paramLabel = "TIMELINE",
            arity = "0..1",
            description = "what happens (.toml); simulation/fleets/plan.toml, or quick.toml there for --quick")
    private Path file;

    @Option(names = "--quick", description = "the short form: some hundred sidecars, under a minute")
    private boolean quick;

    @Mixin
    private SeedOption seed;

    @Option(
            names = "--packaged",
            defaultValue = "0",
            description = "packaged sidecars that follow the first source beside them (${DEFAULT-VALUE})")
    private int packaged;

    @Override
    public Integer call() throws IOException {
        Timeline timeline = InputFiles.timeline(file != null ? file : defaultTimeline());
        List<String> missingResources = Preflight.check(timeline);
        if (!missingResources.isEmpty()) {
            throw new InvalidInputException("this machine has no room for it\n" + String.join("\n", missingResources));
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
