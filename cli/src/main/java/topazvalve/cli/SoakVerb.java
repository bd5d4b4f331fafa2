package topazvalve.cli;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import topazvalve.simulation.experiment.Report;
import topazvalve.simulation.experiment.Result;
import topazvalve.simulation.oracle.Violation;
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
            "The exit code is 0 only if no seed broke a rule."
        })
final class SoakVerb extends Verb {
    private static final String SCENARIO = "simulation/scenarios/soak.toml";
    private static final int MAX_VIOLATIONS = 5;

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
        for (long seed = range.first(); seed <= range.last(); seed++) {
            broken += run(scenario, seed) ? 0 : 1;
        }
        long count = range.last() - range.first() + 1;
        out().printf("%d of %d seeds broke a rule%n", broken, count);
        return ExitCode.of(broken == 0);
    }

    /** Runs one seed; returns whether every rule held. */
    private boolean run(Scenario scenario, long seed) throws IOException, InterruptedException {
        Path directory = out.toAbsolutePath().resolve("seed-" + seed);
        long cpuBefore = processCpuNanos();
        RunResult result =
                new RealTimeSimulation(scenario, seed, ProjectRoot.path(), directory).run((second, activeFaults) -> {});
        double cpuSeconds = (processCpuNanos() - cpuBefore) / (double) TimeUnit.SECONDS.toNanos(1);
        Report.write(
                directory.resolve("report.html"),
                scenario.name() + ", real sockets, seed " + seed,
                List.of(Result.of(scenario, result)));
        print(result, cpuSeconds, directory);
        return result.allRulesHeld();
    }

    private static long processCpuNanos() {
        return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime();
    }

    private void print(RunResult result, double cpuSeconds, Path directory) {
        out().printf(
                        Locale.ROOT,
                        "seed %d: %s, %d requests, %d in time, harness CPU %.1f s%n",
                        result.seed(),
                        result.allRulesHeld() ? "held" : "BROKEN " + result.violationCounts(),
                        result.requests(),
                        result.statistics().sums().inTime(),
                        cpuSeconds);
        if (!result.allRulesHeld()) {
            result.violations().stream().limit(MAX_VIOLATIONS).forEach(this::print);
            result.recordedEvents().forEach(event -> out().println("    " + event));
            out().println("    logs and report: " + directory);
        }
        out().flush();
    }

    private void print(Violation violation) {
        out().println("    " + violation);
    }
}
