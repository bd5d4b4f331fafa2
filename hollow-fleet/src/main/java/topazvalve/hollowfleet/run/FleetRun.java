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

/** Plays one timeline on loopback, in real time, on the caller's thread. */
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
     * @param seed the seed of all random decisions
     */
    public FleetRun(Timeline timeline, long seed) {
        this(timeline, seed, Path.of("."), 0);
    }

    /**
     * Sets up a run: the sources list all servers, and no hollow sidecar has started.
     *
     * @param seed the seed of all random decisions
     * @param repositoryRoot where the packaged sidecar is
     * @param packagedCount packaged sidecars that follow the first source beside the hollow ones
     */
    public FleetRun(Timeline timeline, long seed, Path repositoryRoot, int packagedCount) {
        this.timeline = timeline;
        this.random = RandomStream.named(seed, RANDOM_STREAM);
        this.environment = new FleetEnvironment(timeline, seed, repositoryRoot, packagedCount);
    }

    /** Returns the oracle, which has the violations of all stages. */
    public FleetOracle oracle() {
        return environment.oracle();
    }

    /** Returns the sources; tests inject faults there. */
    public SourceGroup sources() {
        return environment.sources();
    }

    /**
     * Starts all sidecars with the list known, then plays every stage.
     *
     * @param listener receives each result as the stage ends
     * @return the results of the start and of every stage
     */
    public List<StageResult> run(Consumer<StageResult> listener) {
        List<StageResult> results = new ArrayList<>();
        environment.awaitRelays(START_TIMEOUT_NANOS);
        addResult(startSidecars(), results, listener);
        for (Stage stage : timeline.stages()) {
            addResult(new StagePlayer(environment, random, stage).play(), results, listener);
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
        long startOverNanos = timeline.size().startOverNanos();
        for (int i = 0; i < fleet.size(); i++) {
            fleet.start(i, lists[fleet.list(i)], startOverNanos * i / fleet.size());
        }
        pause(startOverNanos);
        int behind = environment.awaitUpToDate(START_TIMEOUT_NANOS);
        return measurement.result(START_STAGE, 0, behind);
    }

    private static void pause(long nanos) {
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
