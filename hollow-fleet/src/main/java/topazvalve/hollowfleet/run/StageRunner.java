package topazvalve.hollowfleet.run;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import topazvalve.hollowfleet.history.ChangeHistory;
import topazvalve.hollowfleet.hollow.HollowFleet;
import topazvalve.hollowfleet.hollow.InitialEndpointList;
import topazvalve.hollowfleet.source.SimulatedLink;
import topazvalve.hollowfleet.source.SourceStandIn;
import topazvalve.hollowfleet.timeline.Timeline.InitialKnowledge;
import topazvalve.hollowfleet.timeline.Timeline.LinkFault;
import topazvalve.hollowfleet.timeline.Timeline.RelayRestart;
import topazvalve.hollowfleet.timeline.Timeline.RevisionsAfterRestart;
import topazvalve.hollowfleet.timeline.Timeline.SidecarRestart;
import topazvalve.hollowfleet.timeline.Timeline.Size;
import topazvalve.hollowfleet.timeline.Timeline.SourceRestart;
import topazvalve.hollowfleet.timeline.Timeline.Stage;
import topazvalve.policy.EndpointStatus;
import topazvalve.simulation.model.RandomStream;

/** Runs one stage in real time: begins its faults, makes its changes, ends the faults, and waits. */
final class StageRunner {
    private static final long STEP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final FleetEnvironment environment;
    private final SourceGroup sources;
    private final HollowFleet fleet;
    private final Size size;
    private final RandomStream random;
    private final Stage stage;
    private final int plannedChanges;
    private final int[] burstServers;
    private int randomChangesMade;
    private int burstChangesMade;
    private boolean sourcesDown;
    private int relaysRestarted;
    private List<Integer> stalledSidecars = List.of();

    StageRunner(FleetEnvironment environment, RandomStream random, Stage stage) {
        this.environment = environment;
        this.sources = environment.sources();
        this.fleet = environment.fleet();
        this.size = environment.timeline().size();
        this.random = random;
        this.stage = stage;
        this.plannedChanges = stage.plannedChanges();
        this.burstServers =
                serversOfZone(stage.changes().burstZone(), stage.changes().burst());
    }

    private int[] serversOfZone(int zone, int maxCount) {
        return IntStream.range(0, size.servers())
                .filter(server -> server % size.zones() == zone)
                .limit(maxCount)
                .toArray();
    }

    /** Runs the stage; returns when every sidecar is up to date, or after the stage's settle timeout. */
    StageResult run() {
        StageMeasurement measurement = new StageMeasurement(environment);
        long startedAtNanos = environment.nowNanos();
        beginFaults();
        while (environment.nowNanos() < startedAtNanos + stage.lengthNanos() || hasPendingWork()) {
            advance(environment.nowNanos() - startedAtNanos);
            LockSupport.parkNanos(STEP_INTERVAL_NANOS);
        }
        endFaults();
        int behind = environment.awaitUpToDate(stage.settleTimeoutNanos());
        return measurement.result(stage.name(), randomChangesMade + burstChangesMade, behind);
    }

    private boolean hasPendingWork() {
        return burstChangesMade < burstServers.length
                || sourcesDown
                || relaysRestarted < stage.relayRestart().count();
    }

    /** Performs the actions that are due at the given time after the start of the stage. */
    private void advance(long elapsedNanos) {
        makeRandomChanges(elapsedNanos);
        makeBurstChanges(elapsedNanos);
        restartSources(elapsedNanos);
        restartRelay(elapsedNanos);
    }

    private void makeRandomChanges(long elapsedNanos) {
        while (randomChangesMade < plannedChanges
                && elapsedNanos >= stage.lengthNanos() * (randomChangesMade + 0.5) / plannedChanges) {
            changeStatus((int) (random.nextDouble() * size.servers()));
            randomChangesMade++;
        }
    }

    private void makeBurstChanges(long elapsedNanos) {
        double withinNanos = stage.changes().burstWithinNanos();
        while (burstChangesMade < burstServers.length
                && elapsedNanos >= withinNanos * burstChangesMade / burstServers.length) {
            changeStatus(burstServers[burstChangesMade]);
            burstChangesMade++;
        }
    }

    /** Changes a server from ready to draining, from draining to removed, or from removed to ready. */
    private void changeStatus(int server) {
        ChangeHistory history = environment.history();
        EndpointStatus nextStatus = switch (history.status(history.latestChange(server))) {
            case READY -> EndpointStatus.DRAINING;
            case DRAINING -> EndpointStatus.REMOVED;
            case REMOVED -> EndpointStatus.READY;
        };
        sources.ofServer(server).changeStatus(server, nextStatus);
    }

    private void restartSources(long elapsedNanos) {
        SourceRestart restart = stage.sourceRestart();
        if (!sourcesDown || elapsedNanos < restart.downNanos()) {
            return;
        }
        sourcesDown = false;
        boolean lowerRevisions = restart.revisions() == RevisionsAfterRestart.LOWER;
        sources.forEach(source -> source.restart(lowerRevisions));
        sources.awaitPendingTasks();
        fleet.setSourceReachable(zone -> true, true);
    }

    private void restartRelay(long elapsedNanos) {
        RelayRestart restart = stage.relayRestart();
        if (relaysRestarted >= restart.count() || elapsedNanos < restart.downNanos()) {
            return;
        }
        environment.relays().start(relaysRestarted);
        relaysRestarted++;
        if (killsAllRelays() && relaysRestarted == 1) {
            fleet.setSourceReachable(zone -> true, true);
        }
    }

    /** Returns whether the stage kills all relays; no sidecar can then follow its list until the first one is back. */
    private boolean killsAllRelays() {
        return environment.timeline().hasRelays()
                && stage.relayRestart().count()
                        == environment.timeline().relays().count();
    }

    private void beginFaults() {
        InitialEndpointList[] lists = environment.currentLists();
        restartSidecars(lists);
        stalledSidecars = selectSidecars(stage.stalledSidecars());
        stalledSidecars.forEach(sidecar -> fleet.setReadingEnabled(sidecar, false));
        beginLinkFault();
        killRelays();
        if (stage.sourceRestart().isPresent()) {
            sourcesDown = true;
            fleet.setSourceReachable(zone -> true, false);
            sources.forEach(SourceStandIn::stop);
        }
    }

    private void restartSidecars(InitialEndpointList[] lists) {
        SidecarRestart restart = stage.sidecarRestart();
        List<Integer> sidecars = selectSidecars(restart.count());
        sidecars.forEach(fleet::kill);
        for (int sidecar : sidecars) {
            boolean known = restart.knowledge() == InitialKnowledge.KNOWN;
            InitialEndpointList list = known ? lists[fleet.list(sidecar)] : InitialEndpointList.EMPTY;
            fleet.start(sidecar, list, restart.downNanos());
        }
    }

    /** Selects distinct sidecars at random. */
    private List<Integer> selectSidecars(int count) {
        List<Integer> sidecars =
                new ArrayList<>(IntStream.range(0, fleet.size()).boxed().toList());
        for (int i = 0; i < count; i++) {
            Collections.swap(sidecars, i, i + (int) (random.nextDouble() * (sidecars.size() - i)));
        }
        return sidecars.subList(0, count);
    }

    private void beginLinkFault() {
        LinkFault fault = stage.linkFault();
        if (!fault.isPresent()) {
            return;
        }
        if (!environment.timeline().hasRelays()) {
            fleet.setSourceReachable(fault.zones()::contains, fault.link().isServing());
        }
        sources.setLink(fault.zones(), fault.link());
    }

    private void killRelays() {
        for (int relay = 0; relay < stage.relayRestart().count(); relay++) {
            environment.relays().kill(relay);
        }
        if (killsAllRelays()) {
            fleet.setSourceReachable(zone -> true, false);
        }
    }

    private void endFaults() {
        LinkFault fault = stage.linkFault();
        if (fault.isPresent()) {
            sources.setLink(fault.zones(), SimulatedLink.OPEN);
            sources.awaitPendingTasks();
            if (!environment.timeline().hasRelays()) {
                fleet.setSourceReachable(fault.zones()::contains, true);
            }
        }
        stalledSidecars.forEach(sidecar -> fleet.setReadingEnabled(sidecar, true));
    }
}
