package topazvalve.simulation.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import topazvalve.simulation.SimulationFailedException;
import topazvalve.simulation.statistics.RunResult;
import topazvalve.simulation.virtual.VirtualSimulation;

/** Performs the runs of a plan in virtual time, several in parallel, each on one thread. */
public final class Runner {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long STOP_POLL_MILLIS = 200;

    private final ExperimentPlan plan;
    private final Path directory;
    private final int jobs;
    private volatile boolean stopped;

    /**
     * Creates a runner.
     *
     * @param directory the directory of the results file; created if necessary
     * @param jobs how many runs are performed in parallel
     */
    public Runner(ExperimentPlan plan, Path directory, int jobs) {
        this.plan = plan;
        this.directory = directory;
        this.jobs = jobs;
    }

    /** Prevents further runs from starting. May be called from any thread. */
    public void stop() {
        stopped = true;
    }

    /**
     * The progress of an experiment.
     *
     * @param done the number of completed runs
     * @param total the number of runs of the plan
     * @param withViolations the number of runs that violated a rule
     * @param secondsLeft the estimated remaining time in seconds
     */
    public record Progress(int done, int total, int withViolations, double secondsLeft) {}

    /**
     * Performs the runs that have no result yet.
     *
     * @param resume whether stored results in the directory are kept; otherwise all runs are performed
     * @param listener receives the progress after each run, on the thread of the caller
     * @return all results in the plan's order; some are missing if the runner was stopped
     * @throws SimulationFailedException if a run fails
     */
    public List<Result> run(boolean resume, Consumer<Progress> listener) throws IOException, InterruptedException {
        Files.createDirectories(directory);
        List<ExperimentPlan.PlannedRun> runs = plan.runs();
        List<String> keys = runs.stream().map(ExperimentPlan.PlannedRun::key).toList();
        List<Result> stored = resume ? storedResults(new HashSet<>(keys)) : List.of();
        Results.replaceAll(directory, stored);
        Set<String> done = new HashSet<>(stored.stream().map(Result::key).toList());
        List<ExperimentPlan.PlannedRun> remaining =
                runs.stream().filter(each -> !done.contains(each.key())).toList();
        ExecutorService executor = Executors.newFixedThreadPool(jobs);
        try {
            runAll(remaining, executor, stored.size(), listener);
        } finally {
            executor.shutdownNow();
        }
        List<Result> all = new ArrayList<>(Results.read(directory));
        all.sort(Comparator.comparingInt(each -> keys.indexOf(each.key())));
        return all;
    }

    private List<Result> storedResults(Set<String> keys) throws IOException {
        return Results.read(directory).stream()
                .filter(each -> keys.contains(each.key()))
                .toList();
    }

    private void runAll(
            List<ExperimentPlan.PlannedRun> remaining,
            ExecutorService executor,
            int storedCount,
            Consumer<Progress> listener)
            throws IOException, InterruptedException {
        ExecutorCompletionService<Result> completion = new ExecutorCompletionService<>(executor);
        long startedAt = System.nanoTime();
        int started = 0;
        int finished = 0;
        int withViolations = 0;
        while (finished < started || (started < remaining.size() && !stopped)) {
            while (started - finished < jobs && started < remaining.size() && !stopped) {
                ExperimentPlan.PlannedRun run = remaining.get(started);
                completion.submit(() -> perform(run));
                started++;
            }
            Future<Result> next = completion.poll(STOP_POLL_MILLIS, TimeUnit.MILLISECONDS);
            if (next != null) {
                Result result = result(next);
                Results.append(directory, result);
                finished++;
                withViolations += result.violationCounts().isEmpty() ? 0 : 1;
                double secondsPerRun = (System.nanoTime() - startedAt) / NANOS_PER_SECOND / finished;
                double secondsLeft = secondsPerRun * (remaining.size() - finished);
                listener.accept(new Progress(storedCount + finished, plan.runs().size(), withViolations, secondsLeft));
            } else if (stopped) {
                return;
            }
        }
    }

    private static Result result(Future<Result> run) throws InterruptedException {
        try {
            return run.get();
        } catch (ExecutionException e) {
            throw new SimulationFailedException("a run failed: " + e.getCause(), e.getCause());
        }
    }

    private static Result perform(ExperimentPlan.PlannedRun planned) {
        RunResult run = new VirtualSimulation(planned.scenario(), planned.arm(), planned.seed()).run();
        return Result.of(planned.scenario(), run);
    }
}
