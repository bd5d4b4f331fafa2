package topazvalve.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import topazvalve.simulation.experiment.ExperimentPlan;
import topazvalve.simulation.experiment.Report;
import topazvalve.simulation.experiment.Result;
import topazvalve.simulation.experiment.Results;
import topazvalve.simulation.experiment.Runner;
import topazvalve.simulation.scenario.ExperimentFile;
import topazvalve.simulation.scenario.SeedRange;
import topazvalve.simulation.virtual.ExperimentArm;

/** Runs an experiment: its arms on its scenarios with its seeds. */
@Command(
        name = "run",
        description = {
            "Runs an experiment in virtual time; writes the results to DIR as JSON lines, with an HTML report.",
            "After Ctrl-C the finished runs are kept and reported; --resume continues from there."
        })
final class ExperimentRunVerb extends Verb {
    /** The longest time that shutdown after Ctrl-C waits for the report of the finished runs. */
    private static final long MAX_REPORT_SECONDS = 20;

    @Parameters(paramLabel = "FILE", description = "the experiment file (.toml)")
    private Path file;

    @Option(names = "--seeds", paramLabel = "A..B", description = "the range of seeds (as in FILE)")
    private String seeds;

    @Option(names = "--jobs", paramLabel = "N", description = "concurrent runs (one per core)")
    private Integer jobs;

    @Option(names = "--out", paramLabel = "DIR", description = "the directory of the results (found/NAME)")
    private Path out;

    @Option(names = "--resume", description = "keeps the results in DIR and runs the missing ones")
    private boolean resume;

    @Override
    public Integer call() throws IOException, InterruptedException {
        ExperimentPlan plan = plan();
        Path directory = out != null ? out : Path.of("found", plan.name());
        int threads = threadCount();
        if (!resume) {
            requireNoResults(directory);
        }
        return runUntilReported(plan, new Runner(plan, directory, threads), directory);
    }

    private int threadCount() {
        int threads = jobs == null ? Runtime.getRuntime().availableProcessors() : jobs;
        if (threads < 1) {
            throw new InvalidInputException("--jobs: " + threads + " is not a positive integer");
        }
        return threads;
    }

    private static void requireNoResults(Path directory) throws IOException {
        if (!Results.read(directory).isEmpty()) {
            throw new InvalidInputException(
                    directory + ": already has results; continue with --resume, or choose another --out");
        }
    }

    /** Runs the experiment; after Ctrl-C the process ends only once the finished runs have been reported. */
    private int runUntilReported(ExperimentPlan plan, Runner runner, Path directory)
            throws IOException, InterruptedException {
        CountDownLatch reported = new CountDownLatch(1);
        Thread shutdownHook = new Thread(() -> stopAndAwaitReport(runner, reported));
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try {
            return run(plan, runner, directory, shutdownHook);
        } finally {
            reported.countDown();
        }
    }

    /** Delays the end of the JVM after Ctrl-C until the finished runs have been reported. */
    private static void stopAndAwaitReport(Runner runner, CountDownLatch reported) {
        runner.stop();
        try {
            reported.await(MAX_REPORT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private int run(ExperimentPlan plan, Runner runner, Path directory, Thread shutdownHook)
            throws IOException, InterruptedException {
        PrintWriter console = out();
        List<Result> results = runner.run(resume, progress -> printProgress(console, progress));
        if (!results.isEmpty()) {
            Report.write(directory.resolve("report.html"), plan.name(), results);
        }
        boolean complete = results.size() == plan.runs().size();
        print(console, plan, results);
        console.println(
                (complete ? "" : "stopped early: ") + results.size() + " results and report.html are in " + directory);
        console.flush();
        if (!complete) {
            return ExitCode.INTERRUPTED;
        }
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        return ExitCode.of(
                results.stream().allMatch(result -> result.violationCounts().isEmpty()));
    }

    private static void printProgress(PrintWriter console, Runner.Progress progress) {
        console.printf(
                Locale.ROOT,
                "%d of %d runs, %d with a broken rule, about %.0f s left%n",
                progress.done(),
                progress.total(),
                progress.withViolations(),
                progress.secondsLeft());
    }

    private static void print(PrintWriter console, ExperimentPlan plan, List<Result> results) {
        for (ExperimentPlan.LoadedScenario setting : plan.scenarios()) {
            String scenario = setting.scenario().name();
            for (ExperimentArm arm : plan.arms()) {
                List<Result> runs = results.stream()
                        .filter(result -> result.arm().equals(arm.name())
                                && result.scenario().equals(scenario))
                        .toList();
                if (!runs.isEmpty()) {
                    printArm(console, scenario, arm.name(), runs);
                }
            }
        }
    }

    private static void printArm(PrintWriter console, String scenario, String arm, List<Result> runs) {
        console.printf(
                Locale.ROOT,
                "%-16s %-16s goal %.4f  service %.4f  worst 10 s %.4f  broken in %d of %d%n",
                scenario,
                arm,
                average(runs, Result::goal),
                average(runs, Result::service),
                average(runs, Result::worstWindow),
                runs.stream()
                        .filter(result -> !result.violationCounts().isEmpty())
                        .count(),
                runs.size());
    }

    private static double average(List<Result> runs, ToDoubleFunction<Result> value) {
        return runs.stream().mapToDouble(value).average().orElse(0);
    }

    private ExperimentPlan plan() throws IOException {
        ExperimentFile.Experiment experiment = InputFiles.experiment(file);
        List<ExperimentPlan.LoadedScenario> scenarios = new ArrayList<>();
        for (Path each : experiment.scenarios()) {
            scenarios.add(new ExperimentPlan.LoadedScenario(each, InputFiles.scenario(each)));
        }
        List<ExperimentArm> arms =
                experiment.arms().stream().map(ExperimentRunVerb::arm).toList();
        ExperimentPlan plan = new ExperimentPlan(experiment.name(), scenarios, arms, experiment.seeds());
        if (seeds == null) {
            return plan;
        }
        SeedRange range = SeedRange.parse(seeds)
                .orElseThrow(() -> new InvalidInputException("--seeds: " + seeds + " is not a range such as 1..20"));
        return plan.withSeeds(range);
    }

    private static ExperimentArm arm(ExperimentFile.ArmSpec spec) {
        return new ExperimentArm(
                spec.name(), spec.policy(), spec.attempts(), spec.cancel(), spec.probes(), spec.retryAfter());
    }
}
