package topazvalve.simulation.real;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.SimulationException;
import topazvalve.simulation.model.AttemptWork;
import topazvalve.simulation.model.Clock;
import topazvalve.simulation.model.EndpointDirectory.Entry;
import topazvalve.simulation.model.OrderServer;
import topazvalve.simulation.model.RandomStream;
import topazvalve.simulation.model.Topology;
import topazvalve.simulation.oracle.Oracle;
import topazvalve.simulation.oracle.Trace;
import topazvalve.simulation.real.SentRequests.SentRequest;
import topazvalve.simulation.scenario.RequestClassSpec;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.statistics.RecordedRun;
import topazvalve.simulation.statistics.RunRecorder;

/**
 * The state of a run in real time, shared by stand-ins, clients and faults: the clock, the simulated network, the
 * recorder, and what each instance has been notified of. It is confined to the event loop.
 */
final class RunState implements RecordedRun {
    /** The delay by scheduling and the kernel that the oracle allows beyond every limit. */
    private static final long TOLERANCE_NANOS = 50_000_000;

    private static final long MAX_FLIGHT_NANOS = 50_000_000;
    /** The most times that an attempt on a new connection crosses zones before the server has received it. */
    private static final int MAX_ZONE_CROSSINGS = 4;

    private static final long NANOS_PER_MILLI = 1_000_000;
    /** How long after a stall a sidecar may be late with what waited for it. */
    private static final long STALL_RECOVERY_NANOS = 200_000_000;

    private static final long RESTART_DELAY_MILLIS = 100;
    /** Added to the longest deadline: SIGKILL comes no sooner after SIGTERM. */
    private static final long KILL_MARGIN_NANOS = 700_000_000;
    /** A longer deadline counts as this. */
    private static final long MAX_SHUTDOWN_DEADLINE_NANOS = 3_000_000_000L;
    /** How often a shutdown begins while a reload runs, and is followed by another one. */
    private static final double RELOAD_AT_SHUTDOWN = 0.5;

    private static final long RELOAD_IN_SHUTDOWN_MILLIS = 50;
    /** After that, no client opens a connection to a sidecar that has got SIGTERM. */
    private static final long SHUTDOWN_KNOWN_NANOS = 400_000_000;
    /** How long a start may take until the run is over. */
    private static final long RESTART_TIME_NANOS = 2_500_000_000L;
    /** Initial attempt counters for each server of the scenario, since replacement servers get new ids. */
    private static final int COUNTERS_PER_SERVER = 4;

    private static final int SPARE_COUNTERS = 64;

    private final Scenario scenario;
    private final EventLoop loop;
    private final EventLoopClock clock;
    private final SentRequests sentRequests = new SentRequests();
    private final AttemptWork attemptWork;
    private final RandomStream propagation;
    private final RandomStream restarts;
    private final RandomStream disturbances;
    private final ClientDepartures departures = new ClientDepartures();
    private final Topology topology;
    private final RunRecorder recorder;
    private final ServerSockets servers = new ServerSockets(this);
    private final EndpointListJson listJson;
    private final SidecarFleet sidecars;
    private final NotifiedStarts notifiedStarts = new NotifiedStarts();
    private final ActiveFaults activeFaults = new ActiveFaults();
    private long startedAt;

    /** Creates the state of a run that hasn't started; nothing listens yet. */
    RunState(Scenario scenario, long seed, EventLoop loop, SidecarFleet sidecars) {
        this.scenario = scenario;
        this.loop = loop;
        this.sidecars = sidecars;
        this.clock = new EventLoopClock(loop);
        this.attemptWork = new AttemptWork(scenario, seed);
        this.propagation = RandomStream.named(seed, "spread");
        this.restarts = RandomStream.named(seed, "restarts");
        this.disturbances = RandomStream.named(seed, "disturbances");
        this.topology = new Topology(scenario, clock, seed);
        this.recorder = new RunRecorder(
                topology,
                createOracle(scenario),
                COUNTERS_PER_SERVER * servers().size() + SPARE_COUNTERS);
        this.listJson = new EndpointListJson(scenario, clock, servers);
        servers().forEach(this::recordColdCrashes);
    }

    private static Oracle createOracle(Scenario scenario) {
        long crossingNanos = MAX_ZONE_CROSSINGS * scenario.network().crossZone();
        return new Oracle(scenario.limits(), TOLERANCE_NANOS, MAX_FLIGHT_NANOS + crossingNanos);
    }

    private void recordColdCrashes(OrderServer server) {
        server.onColdCrash(
                (crashed, informedFraction) -> recorder.serverCrashedWhileCold(crashed, informedFraction, elapsed()));
    }

    /** Sets the start of the run to the present time. */
    void start() {
        startedAt = clock.now();
    }

    EventLoop loop() {
        return loop;
    }

    @Override
    public Scenario scenario() {
        return scenario;
    }

    SentRequests sentRequests() {
        return sentRequests;
    }

    @Override
    public RunRecorder recorder() {
        return recorder;
    }

    @Override
    public long startedAt() {
        return startedAt;
    }

    /** Returns the sockets of the order servers. */
    ServerSockets serverSockets() {
        return servers;
    }

    NotifiedStarts notifiedStarts() {
        return notifiedStarts;
    }

    ActiveFaults activeFaults() {
        return activeFaults;
    }

    /** Returns the port that the clients of an instance connect to. */
    int port(int instance) {
        return sidecars.port(instance);
    }

    /** Draws the work of one attempt, in nanoseconds of a standard core. */
    double attemptWork(SentRequest request) {
        return attemptWork.draw(request.requestClass(), request.work());
    }

    /** Draws a one-way delay between an instance and a server, in addition to that of loopback. */
    long nextDelayNanos(int instance, OrderServer server) {
        int zone = instance % scenario.fleet().zones().size();
        return link().nextDelayNanos(zone != server.pod().zone());
    }

    /** Draws the time until a change of the endpoint list reaches the instances. */
    long nextPropagationNanos() {
        return (long) (propagation.nextDouble() * scenario.discovery().maxPropagation());
    }

    /** Draws the seed of an instance's load balancer. */
    long nextInstanceSeed() {
        return restarts.nextLong();
    }

    /** Returns the full endpoint list as an instance may have cached it. */
    ObjectNode fullList() {
        return toJson(directory().entries(), directory().revision(), true);
    }

    /** Converts a full snapshot or a delta of the endpoint list to the JSON format of discovery. */
    ObjectNode toJson(List<Entry> entries, long revision, boolean full) {
        return listJson.toJson(entries, revision, full);
    }

    /** Records that an instance has been notified of endpoints. */
    void endpointsNotified(int instance, List<Entry> entries) {
        for (Entry each : entries) {
            notifiedStarts.notified(instance, each);
            recorder.endpointNotified(instance, each, elapsed());
        }
    }

    /** Returns whether the instance to which a request was sent has been killed since. */
    boolean wasKilled(int instance, Trace trace) {
        return sidecars.wasKilledSince(instance, trace.sentAt() - TOLERANCE_NANOS);
    }

    // The operations that faults use.

    @Override
    public Clock clock() {
        return clock;
    }

    @Override
    public Topology topology() {
        return topology;
    }

    @Override
    public void restartInstance(int number) {
        if (sidecars.isShutDownSince(number, elapsed())) {
            return; // it is restarted already
        }
        sidecars.kill(number, elapsed());
        startAgain(number);
    }

    private void startAgain(int number) {
        recorder.instanceKilled(number);
        ObjectNode cachedList = fullList();
        long newSeed = nextInstanceSeed();
        loop.schedule(() -> restartSidecar(number, cachedList, newSeed), RESTART_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the earliest time from the start of the run at which data that is being read now can have arrived. */
    long earliestArrival() {
        return sinceStart(clock.earliestArrival());
    }

    @Override
    public void stallInstance(int number, long nanos) {
        try {
            Runnable resume = sidecars.suspend(number, elapsed(), nanos);
            loop.schedule(resume, nanos, TimeUnit.NANOSECONDS);
            recordEvent("sidecar " + number + " stopped for " + nanos / NANOS_PER_MILLI + " ms");
        } catch (IOException e) {
            recordEvent("sidecar " + number + " could not be stopped: " + e.getMessage());
        }
    }

    @Override
    public void shutDownInstance(int number) {
        long killAfterNanos = Math.min(scenario.maxDeadline(), MAX_SHUTDOWN_DEADLINE_NANOS) + KILL_MARGIN_NANOS;
        boolean endsInTime = elapsed() + killAfterNanos + RESTART_TIME_NANOS < scenario.length();
        if (!endsInTime) {
            return;
        }
        if (disturbances.nextBoolean(RELOAD_AT_SHUTDOWN)) {
            reloadInstance(number);
            loop.schedule(() -> reloadInstance(number), RELOAD_IN_SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS);
        }
        if (sidecars.shutDown(number, elapsed())) {
            recordEvent("sidecar " + number + " gets SIGTERM");
            loop.schedule(() -> killShutDown(number), killAfterNanos, TimeUnit.NANOSECONDS);
        }
    }

    private void killShutDown(int number) {
        recordEvent("sidecar " + number + " gets SIGKILL");
        sidecars.killShutDown(number, elapsed());
        startAgain(number);
    }

    /**
     * Returns whether an instance gets no new connections: its shutdown has been known for long enough, or it has been
     * started again and is not ready yet.
     */
    boolean refusesNewConnections(int instance) {
        return sidecars.isShutDownSince(instance, elapsed() - SHUTDOWN_KNOWN_NANOS) || !sidecars.hasBeenReady(instance);
    }

    @Override
    public void floodInstance(int number, long nanos) {
        String kind = ClientFlood.start(port(number), nanos, disturbances);
        recordEvent("sidecar " + number + " is flooded: " + kind);
    }

    @Override
    public void crowdInstance(int number, long nanos) {
        String kind = ClientCrowd.start(port(number), nanos, disturbances);
        recordEvent("sidecar " + number + " has a crowd of clients: " + kind);
    }

    @Override
    public void departFromInstance(int number, long nanos) {
        List<RequestClassSpec> classes = scenario.classes();
        RequestClassSpec requestClass = classes.get(disturbances.nextInt(classes.size()));
        departures.start(number, port(number), nanos, requestClass);
        recordEvent("clients depart from sidecar " + number + ": " + requestClass.name());
    }

    /** Returns the clients that close with most of their requests unread. */
    ClientDepartures departures() {
        return departures;
    }

    /** Converts a {@link System#nanoTime} to the time since the start of the run. */
    long sinceStartOfNanoTime(long nanoTime) {
        return elapsed() - (System.nanoTime() - nanoTime);
    }

    @Override
    public void reloadInstance(int number) {
        try {
            sidecars.reload(number);
        } catch (IOException e) {
            recordEvent("sidecar " + number + " could not be reloaded: " + e.getMessage());
        }
    }

    /** Returns whether an instance may close the connection of an attempt: it was killed, ends, or was held up. */
    boolean excusesClose(int instance, Trace trace) {
        return wasKilled(instance, trace)
                || sidecars.isShutDownSince(instance, elapsed())
                || wasStalled(instance, trace);
    }

    /** Returns whether an instance was held up while a request was open, or shortly before. */
    boolean wasStalled(int instance, Trace trace) {
        return sidecars.wasSuspendedSince(instance, trace.sentAt() - STALL_RECOVERY_NANOS);
    }

    private void restartSidecar(int number, ObjectNode cachedList, long newSeed) {
        try {
            sidecars.start(number, cachedList, newSeed);
        } catch (IOException | SimulationException e) {
            recordEvent("sidecar " + number + " failed to restart: " + e.getMessage());
            return;
        }
        recorder.instanceRestarted(number, elapsed());
    }

    @Override
    public OrderServer replaceServer(OrderServer old, boolean sameAddress) {
        OrderServer replacement = topology.fleet().replace(old);
        recordColdCrashes(replacement);
        if (sameAddress) {
            servers.openAtAddressOf(old, replacement);
        } else {
            servers.open(replacement);
        }
        return replacement;
    }

    @Override
    public void recordEvent(String event) {
        topology.recordEvent(elapsed(), event);
        activeFaults.eventRecorded(event);
    }
}
