package topazvalve.simulation.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
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
import topazvalve.simulation.tally.Run;
import topazvalve.simulation.virtual.VirtualWorld;

/** Runs a plan, several runs at once, each in virtual time on one thread of its own. */
public final class Runner {
    private static final long LOOK_MS = 200;

    private final ExperimentPlan plan;
    private final Path folder;
    private final int jobs;
    private volatile boolean stopped;

    /** Results go into {@code folder}, which is made. */
    public Runner(ExperimentPlan plan, Path folder, int jobs) {
        this.plan = plan;
        this.folder = folder;
        this.jobs = jobs;
    }

    /** Takes up no further run; from any thread. */
    public void stop() {
        stopped = true;
    }

    /** How far it is; {@code leftS} is a guess at the seconds left. */
    public record Progress(int done, int all, int broken, double leftS) {}

    /**
     * Runs what is not done yet.
     *
     * @param resume whether earlier results of the same plan in the folder count as done
     * @return all results, in the plan's order; fewer than the plan has if it was stopped
     */
    public List<Result> run(boolean resume, Consumer<Progress> listener) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        List<ExperimentPlan.Cell> cells = plan.cells();
        Set<String> wanted =
                new HashSet<>(cells.stream().map(ExperimentPlan.Cell::key).toList());
        List<Result> kept = resume
                ? Results.read(folder).stream()
                        .filter(each -> wanted.contains(each.key()))
                        .toList()
                : List.of();
        Results.rewrite(folder, kept);
        Set<String> done = new HashSet<>(kept.stream().map(Result::key).toList());
        List<ExperimentPlan.Cell> left =
                cells.stream().filter(each -> !done.contains(each.key())).toList();
        ExecutorService threads = Executors.newFixedThreadPool(jobs);
        try {
            runAll(left, threads, kept.size(), cells.size(), listener);
        } finally {
            threads.shutdownNow();
        }
        List<String> order = cells.stream().map(ExperimentPlan.Cell::key).toList();
        List<Result> all = new ArrayList<>(Results.read(folder));
        all.sort((a, b) -> Integer.compare(order.indexOf(a.key()), order.indexOf(b.key())));
        return all;
    }

    private void runAll(
            List<ExperimentPlan.Cell> left, ExecutorService threads, int before, int all, Consumer<Progress> listener)
            throws IOException, InterruptedException {
        ExecutorCompletionService<Result> running = new ExecutorCompletionService<>(threads);
        long began = System.nanoTime();
        int next = 0;
        int out = 0;
        int finished = 0;
        int broken = 0;
        while (out > 0 || (next < left.size() && !stopped)) {
            while (out < jobs && next < left.size() && !stopped) {
                ExperimentPlan.Cell cell = left.get(next++);
                running.submit(() -> play(cell));
                out++;
            }
            Future<Result> one = running.poll(LOOK_MS, TimeUnit.MILLISECONDS);
            if (one == null) {
                if (stopped) {
                    return;
                }
                continue;
            }
            out--;
            Result result = result(one);
            Results.append(folder, result);
            finished++;
            broken += result.broken().isEmpty() ? 0 : 1;
            double each = (System.nanoTime() - began) / 1e9 / finished;
            listener.accept(new Progress(before + finished, all, broken, each * (left.size() - finished)));
        }
    }

    private static Result result(Future<Result> one) throws InterruptedException {
        try {
            return one.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a run failed: " + e.getCause(), e.getCause());
        }
    }

    private static Result play(ExperimentPlan.Cell cell) {
        Run run = new VirtualWorld(cell.scenario(), cell.arm(), cell.seed()).play();
        return Result.of(cell.scenario(), run);
    }
}
