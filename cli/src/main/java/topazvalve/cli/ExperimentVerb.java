package topazvalve.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import topazvalve.simulation.experiment.Comparison;
import topazvalve.simulation.experiment.ExperimentPlan;
import topazvalve.simulation.experiment.Report;
import topazvalve.simulation.experiment.Result;
import topazvalve.simulation.experiment.Results;
import topazvalve.simulation.experiment.Runner;
import topazvalve.simulation.scenario.ExperimentFile;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.virtual.ExperimentArm;
import topazvalve.toml.InvalidFileException;

/** Arms by scenarios by seeds, and what differs between them. */
@Command(
        name = "experiment",
        description = "Runs arms on scenarios with many seeds, and compares them.",
        synopsisSubcommandLabel = "run|compare",
        subcommands = {ExperimentVerb.Run.class, ExperimentVerb.Compare.class})
final class ExperimentVerb implements Runnable {
    private static final int INTERRUPTED = 130;
    /** Ctrl-C waits so long for the report of what is finished. */
    private static final long LONGEST_END_S = 20;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    /** Runs an experiment. */
    @Command(
            name = "run",
            description = {
                "Runs an experiment in virtual time; results go to DIR as JSON lines, " + "with one HTML report.",
                "Ctrl-C leaves what is finished readable; --resume goes on from there."
            })
    static final class Run implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "the experiment (.toml)")
        private Path file;

        @Option(names = "--seeds", paramLabel = "A..B", description = "in place of the file's")
        private String seeds;

        @Option(names = "--jobs", paramLabel = "N", description = "runs at once (one for each core)")
        private Integer jobs;

        @Option(names = "--out", paramLabel = "DIR", description = "where results go (found/NAME)")
        private Path out;

        @Option(names = "--resume", description = "keeps the results that DIR has already")
        private boolean resume;

        @Override
        public Integer call() throws IOException, InterruptedException {
            ExperimentPlan plan = plan(file, seeds);
            Path folder = out != null ? out : Path.of("found", plan.name());
            int threads = jobs == null ? Runtime.getRuntime().availableProcessors() : jobs;
            if (threads < 1) {
                throw new InvalidInputException("--jobs: " + threads + " is not a whole number above 0", null);
            }
            if (!resume && !Results.read(folder).isEmpty()) {
                throw new InvalidInputException(
                        folder + ": has results already; go on with --resume, or name another --out", null);
            }
            Runner runner = new Runner(plan, folder, threads);
            CountDownLatch told = new CountDownLatch(1);
            Thread hook = new Thread(() -> {
                runner.stop();
                try {
                    told.await(LONGEST_END_S, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            Runtime.getRuntime().addShutdownHook(hook);
            try {
                return run(plan, runner, folder, hook);
            } finally {
                told.countDown();
            }
        }

        private int run(ExperimentPlan plan, Runner runner, Path folder, Thread hook)
                throws IOException, InterruptedException {
            PrintWriter console = spec.commandLine().getOut();
            List<Result> results = runner.run(
                    resume,
                    each -> console.printf(
                            Locale.ROOT,
                            "%d of %d runs, %d with a broken rule, about %.0f s left%n",
                            each.done(),
                            each.all(),
                            each.broken(),
                            each.leftS()));
            if (!results.isEmpty()) {
                Report.write(folder.resolve("report.html"), plan.name(), results);
            }
            boolean whole = results.size() == plan.runs().size();
            print(console, plan, results);
            console.println(
                    (whole ? "" : "stopped early: ") + results.size() + " results and report.html are in " + folder);
            console.flush();
            if (!whole) {
                return INTERRUPTED;
            }
            Runtime.getRuntime().removeShutdownHook(hook);
            return results.stream().allMatch(each -> each.broken().isEmpty()) ? ExitCode.DONE : ExitCode.FAILED;
        }

        private static void print(PrintWriter console, ExperimentPlan plan, List<Result> results) {
            for (ExperimentPlan.Setting setting : plan.scenarios()) {
                for (ExperimentArm arm : plan.arms()) {
                    List<Result> runs = results.stream()
                            .filter(each -> each.arm().equals(arm.name())
                                    && each.scenario().equals(setting.scenario().name()))
                            .toList();
                    if (!runs.isEmpty()) {
                        console.printf(
                                Locale.ROOT,
                                "%-16s %-16s goal %.4f  service %.4f  worst 10 s %.4f  " + "broken in %d of %d%n",
                                setting.scenario().name(),
                                arm.name(),
                                runs.stream()
                                        .mapToDouble(Result::goal)
                                        .average()
                                        .orElse(0),
                                runs.stream()
                                        .mapToDouble(Result::service)
                                        .average()
                                        .orElse(0),
                                runs.stream()
                                        .mapToDouble(Result::worstWindow)
                                        .average()
                                        .orElse(0),
                                runs.stream()
                                        .filter(each -> !each.broken().isEmpty())
                                        .count(),
                                runs.size());
                    }
                }
            }
        }
    }

    static ExperimentPlan plan(Path file, String seeds) throws IOException {
        InputFiles.requireFile(file);
        ExperimentFile.Experiment read;
        try {
            read = ExperimentFile.read(file);
        } catch (InvalidFileException e) {
            throw new InvalidInputException(e.getMessage(), e);
        }
        List<ExperimentPlan.Setting> scenarios = new ArrayList<>();
        for (Path each : read.scenarios()) {
            Scenario scenario = InputFiles.scenario(each);
            scenarios.add(new ExperimentPlan.Setting(each, scenario));
        }
        List<ExperimentArm> arms = read.arms().stream()
                .map(each -> new ExperimentArm(
                        each.name(), each.policy(), each.attempts(), each.cancel(), each.probes(), each.retryAfter()))
                .toList();
        ExperimentPlan plan = new ExperimentPlan(read.name(), scenarios, arms, read.firstSeed(), read.lastSeed());
        if (seeds == null) {
            return plan;
        }
        long[] range = ExperimentFile.parseSeeds(seeds);
        if (range == null) {
            throw new InvalidInputException("--seeds: " + seeds + " is not a range such as 1..20", null);
        }
        return plan.withSeeds(range[0], range[1]);
    }

    /** Compares two arms. */
    @Command(
            name = "compare",
            description = {
                "Compares two arms seed by seed, with 95%% intervals.",
                "An arm is named ARM, or DIR:ARM where its results are elsewhere than in --out."
            })
    static final class Compare implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "A", description = "one arm")
        private String first;

        @Parameters(index = "1", paramLabel = "B", description = "the other")
        private String second;

        @Option(names = "--out", paramLabel = "DIR", description = "the folder of the results")
        private Path out;

        @Override
        public Integer call() throws IOException {
            List<Comparison> all = Comparison.of(results(first), results(second));
            if (all.isEmpty()) {
                throw new InvalidInputException(
                        first + " and " + second + " have no scenario and seed in common", null);
            }
            PrintWriter console = spec.commandLine().getOut();
            for (Comparison each : all) {
                console.printf(
                        Locale.ROOT,
                        "%-16s %-24s %9.4f against %9.4f: %+.4f, 95%% from %+.4f to %+.4f " + "(%d seeds): %s%n",
                        each.scenario(),
                        each.figure(),
                        each.first(),
                        each.second(),
                        each.mean(),
                        each.mean() - each.half(),
                        each.mean() + each.half(),
                        each.pairs(),
                        each.differs()
                                ? first + (each.mean() > 0 ? " has more" : " has less")
                                : "no difference can be told");
            }
            return ExitCode.DONE;
        }

        private List<Result> results(String named) throws IOException {
            int colon = named.lastIndexOf(':');
            Path folder = colon > 0 ? Path.of(named.substring(0, colon)) : out;
            String arm = named.substring(colon + 1);
            if (folder == null || !Files.isDirectory(folder)) {
                throw new InvalidInputException(named + ": no such folder of results; say --out DIR, or DIR:ARM", null);
            }
            List<Result> found = Results.read(folder).stream()
                    .filter(each -> each.arm().equals(arm))
                    .toList();
            if (found.isEmpty()) {
                throw new InvalidInputException(folder + ": has no results of an arm " + arm, null);
            }
            return found;
        }
    }
}
