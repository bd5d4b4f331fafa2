package topazvalve.cli;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import topazvalve.simulation.experiment.Report;
import topazvalve.simulation.experiment.Result;
import topazvalve.simulation.oracle.Violation;
import topazvalve.simulation.real.HoldUps.Verdict;
import topazvalve.simulation.real.ProcessResources;
import topazvalve.simulation.real.RealTimeSimulation;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.SeedRange;
import topazvalve.simulation.statistics.RunResult;

/** Runs a scenario on real sockets with one seed after another and prints a verdict for each. */
@Command(
        name = "soak",
        description = {
            "Runs packaged sidecars on loopback under faults that each seed draws anew, and judges every request.",
            "A seed draws the same faults in each run; real time makes what follows from them differ.",
            "The exit code is 0 only if no seed broke a rule; 3 if none did, but the machine was too busy to tell."
        })
final class SoakVerb extends Verb {
    private static final String SCENARIO = "simulation/scenarios/soak.toml";
    private static final int MAX_VIOLATIONS = 5;
    /** A run in which the machine or this command was late more often has no result. */
    private static final int MAX_EXCUSED = 10;
    /** If stops held up more writes in a run, the sidecar does not look again before it writes. */
    private static final int MAX_STOPPED = 1;
    /** The memory limit in the configuration of the sidecars. */
    private static final int MEMORY_LIMIT_MEGABYTES = 96;

    private enum Outcome {
        HELD("held"),
        BROKEN("BROKEN"),
        NO_RESULT("NO_RESULT");

        /** As the verb prints it. */
        private final String text;

        Outcome(String text) {
            this.text = text;
        }
    }

    @Option(
            names = {"--seeds", "--seed"},
            paramLabel = "A..B",
            defaultValue = "1",
            description = "a seed or a range of seeds (${DEFAULT-VALUE})")
    private String seeds;

    @Option(names = "--scenario", paramLabel = "FILE", description = "another scenario than the shipped soak.toml")
    private Path file;

    @Option(
            names = "--out",
            defaultValue = "found/soak",
            description = "the directory of the reports and the logs, one for each seed (${DEFAULT-VALUE})")
    private Path out;

    @Override
    public Integer call() throws IOException, InterruptedException {
        SeedRange range = SeedRange.parse(seeds)
                .orElseThrow(() -> new InvalidInputException("--seeds: " + seeds + " is not a range such as 1..20"));
        Scenario scenario = InputFiles.scenario(file == null ? ProjectRoot.resolve(SCENARIO) : file);
        int broken = 0;
        int withoutResult = 0;
        for (long seed = range.first(); seed <= range.last(); seed++) {
            Outcome outcome = run(scenario, seed);
            broken += outcome == Outcome.BROKEN ? 1 : 0;
            withoutResult += outcome == Outcome.NO_RESULT ? 1 : 0;
        }
        long count = range.last() - range.first() + 1;
        out().printf("%d of %d seeds broke a rule, %d without a result%n", broken, count, withoutResult);
        return broken == 0 && withoutResult > 0 ? ExitCode.NO_RESULT : ExitCode.of(broken == 0);
    }

    /** Runs one seed. */
    private Outcome run(Scenario scenario, long seed) throws IOException, InterruptedException {
        Path directory = out.toAbsolutePath().resolve("seed-" + seed);
        long cpuBefore = processCpuNanos();
        RealTimeSimulation simulation = new RealTimeSimulation(scenario, seed, ProjectRoot.path(), directory);
        RunResult result = simulation.run((second, activeFaults) -> {});
        double cpuSeconds = (processCpuNanos() - cpuBefore) / (double) TimeUnit.SECONDS.toNanos(1);
        Report.write(
                directory.resolve("report.html"),
                scenario.name() + ", real sockets, seed " + seed,
                List.of(Result.of(scenario, result)));
        Map<Verdict, List<Violation>> byVerdict =
                result.violations().stream().collect(Collectors.groupingBy(simulation::verdict));
        Outcome outcome = isOverMemoryLimit(simulation.resources()) ? Outcome.BROKEN : outcome(result, byVerdict);
        print(outcome, result, byVerdict, cpuSeconds, simulation.resources(), directory);
        return outcome;
    }

    private static boolean isOverMemoryLimit(List<ProcessResources> sidecars) {
        return sidecars.stream().anyMatch(sidecar -> sidecar.memoryMegabytes() > MEMORY_LIMIT_MEGABYTES);
    }

    /** A violation that was not recorded in detail counts as the sidecar's. */
    private static Outcome outcome(RunResult result, Map<Verdict, List<Violation>> byVerdict) {
        int all = result.violationCounts().values().stream()
                .mapToInt(Integer::intValue)
                .sum();
        int excused = result.violations().size()
                - byVerdict.getOrDefault(Verdict.SIDECAR, List.of()).size();
        int stopped = byVerdict.getOrDefault(Verdict.STOPPED, List.of()).size();
        if (all > excused || stopped > MAX_STOPPED) {
            return Outcome.BROKEN;
        }
        return excused > MAX_EXCUSED ? Outcome.NO_RESULT : Outcome.HELD;
    }

    private static long processCpuNanos() {
        return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime();
    }

    private void print(
            Outcome outcome,
            RunResult result,
            Map<Verdict, List<Violation>> byVerdict,
            double cpuSeconds,
            List<ProcessResources> sidecars,
            Path directory) {
        out().printf(
                        Locale.ROOT,
                        "seed %d: %s %s, %d requests, %d in time, harness CPU %.1f s, sidecars at the end %s%n",
                        result.seed(),
                        outcome.text,
                        result.violationCounts(),
                        result.requests(),
                        result.statistics().sums().inTime(),
                        cpuSeconds,
                        sidecars);
        byVerdict.forEach((verdict, violations) -> violations.stream()
                .limit(MAX_VIOLATIONS)
                .forEach(violation -> out().println("    " + verdict + " " + violation)));
        if (outcome == Outcome.BROKEN) {
            result.recordedEvents().forEach(event -> out().println("    " + event));
            out().println("    logs and report: " + directory);
        }
        out().flush();
    }
}
