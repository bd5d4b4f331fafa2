package topazvalve.hollowfleet.run;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import topazvalve.hollowfleet.hollow.HollowFleet;
import topazvalve.hollowfleet.hollow.InitialEndpointList;
import topazvalve.hollowfleet.oracle.FleetOracle;
import topazvalve.hollowfleet.timeline.Timeline;
import topazvalve.hollowfleet.timeline.Timeline.Stage;
import topazvalve.simulation.model.RandomStream;

/** Runs one timeline on loopback, in real time, on the caller's thread. */
public final class FleetRun implements AutoCloseable {
    private static final long START_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(1);
    private static final String START_STAGE = "start, list known";
    private static final String RANDOM_STREAM = "fleet";

    private final Timeline timeline;
    private final FleetEnvironment environment;
    private final RandomStream random;

    /**
     * Sets up a run without packaged sidecars.
     *
     * @param seed the seed for all random decisions
     */
    public FleetRun(Timeline timeline, long seed) {
        this(timeline, seed, Path.of("."), 0);
    }

    /**
     * Sets up a run: the sources list all servers, and no hollow sidecar has started.
     *
     * @param seed the seed for all random decisions
     * @param repositoryRoot the directory that contains the packaged sidecar
     * @param packagedCount number of packaged sidecars that follow the first source in addition to the hollow ones
     */
    public FleetRun(Timeline timeline, long seed, Path repositoryRoot, int packagedCount) {
        this.timeline = timeline;
        this.random = RandomStream.named(seed, RANDOM_STREAM);
        this.environment = new FleetEnvironment(timeline, seed, repositoryRoot, packagedCount);
    }

    /** Returns the oracle, which holds the violations of all stages. */
    public FleetOracle oracle() {
        return environment.oracle();
    }

    /** Returns the sources, on which tests inject faults. */
    public SourceGroup sources() {
        return environment.sources();
    }

    /**
     * Starts all sidecars with a known list, then runs every stage.
     *
     * @param listener receives each result when its stage ends
     * @return the results of the start and of every stage
     */
    public List<StageResult> run(Consumer<StageResult> listener) {
        List<StageResult> results = new ArrayList<>();
        environment.awaitRelays(START_TIMEOUT_NANOS);
        addResult(startSidecars(), results, listener);
        for (Stage stage : timeline.stages()) {
            addResult(new StageRunner(environment, random, stage).run(), results, listener);
        }
        return results;
    }

    private static void addResult(StageResult result, List<StageResult> results, Consumer<StageResult> listener) {
        results.add(result);
        listener.accept(result);
    }

    private StageResult startSidecars() {
        HollowFleet fleet = environment.fleet();
        InitialEndpointList[] lists = environment.currentLists();
        StageMeasurement measurement = new StageMeasurement(environment);
        long startSpreadNanos = timeline.size().startSpreadNanos();
        for (int i = 0; i < fleet.size(); i++) {
            fleet.start(i, lists[fleet.list(i)], startSpreadNanos * i / fleet.size());
        }
        sleep(startSpreadNanos);
        int behind = environment.awaitUpToDate(START_TIMEOUT_NANOS);
        return measurement.result(START_STAGE, 0, behind);
    }

    private static void sleep(long nanos) {
        long deadlineNanos = System.nanoTime() + nanos;
        while (System.nanoTime() < deadlineNanos) {
            LockSupport.parkNanos(deadlineNanos - System.nanoTime());
        }
    }

    @Override
    public void close() {
        environment.close();
    }
}
