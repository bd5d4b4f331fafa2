package topazvalve.simulation.virtual;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntFunction;
import java.util.zip.CRC32C;
import topazvalve.policy.EndpointStatus;
import topazvalve.simulation.model.Clock;
import topazvalve.simulation.model.ColdServerMonitor;
import topazvalve.simulation.model.FaultPlayer;
import topazvalve.simulation.model.FaultTarget;
import topazvalve.simulation.model.OrderServer;
import topazvalve.simulation.model.RandomStream;
import topazvalve.simulation.model.Topology;
import topazvalve.simulation.oracle.Oracle;
import topazvalve.simulation.oracle.Oracle.Answer;
import topazvalve.simulation.scenario.Fault;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.statistics.RunResult;
import topazvalve.simulation.statistics.RunStatistics;

/** A run of one scenario, arm and seed in virtual time. The same three give the same run to the last event. */
public final class VirtualSimulation implements FaultTarget {
    /** The clock's time at the start. Far from 0, since a server that started at 0 counts as started long ago. */
    private static final long START = 1_000_000_000_000L;

    /** Instances close idle connections after this fraction of the servers' shortest idle timeout. */
    private static final double IDLE_FRACTION = 0.9;

    /** How often an attempt on a new connection crosses the link before the server has received it. */
    private static final int FLIGHT_CROSSINGS = 3;
    /** The largest multiple of its mean that a random delay is assumed to take. */
    private static final int MAX_JITTER_MULTIPLE = 20;

    private static final long FLIGHT_SLACK_NANOS = 1_000_000;
    /** The delay that retransmissions of lost packets are assumed to add at most. */
    private static final long MAX_LOSS_DELAY_NANOS = 2_000_000_000;
    /** Bytes of one response in the digest: request, time and answer. */
    private static final int DIGEST_BYTES = 24;

    private static final int ATTEMPT_COUNTER_GROWTH = 16;

    private final Scenario scenario;
    private final ExperimentArm arm;
    private final long seed;
    private final VirtualClock clock = new VirtualClock(START);
    private final Oracle oracle;
    private ColdServerMonitor coldServerMonitor;
    private final RunStatistics statistics;
    private final Topology topology;
    private final VirtualDiscovery discovery;
    private final RandomStream noise;
    private final RandomStream restarts;
    private final List<VirtualInstance> instances = new ArrayList<>();
    private final VirtualClients clients;
    private final FixedDelayQueue<ServerConnections.VirtualConnection> idleConnections;
    private final long idleTimeoutNanos;
    private final CRC32C digest = new CRC32C();
    private final ByteBuffer digestBuffer = ByteBuffer.allocate(DIGEST_BYTES);
    private long[] attemptsByServer;

    /** Creates the servers, instances and clients of a run that hasn't started yet. */
    public VirtualSimulation(Scenario scenario, ExperimentArm arm, long seed) {
        this(scenario, arm, seed, null);
    }

    /** Creates a run with instances from {@code factory}, for the oracle's tests; null for the usual ones. */
    VirtualSimulation(Scenario scenario, ExperimentArm arm, long seed, InstanceFactory factory) {
        this.scenario = scenario;
        this.arm = arm;
        this.seed = seed;
        this.oracle = new Oracle(scenario.limits(), 0, maxFlightNanos(scenario));
        this.statistics = new RunStatistics(scenario);
        this.topology = new Topology(scenario, clock, seed);
        this.attemptsByServer = new long[servers().size() + 1];
        this.noise = RandomStream.named(seed, "noise");
        this.restarts = RandomStream.named(seed, "restarts");
        servers().forEach(this::observe);
        servers().forEach(directory()::add);
        this.discovery = new VirtualDiscovery(
                clock, scenario.discovery(), directory(), oracle, RandomStream.named(seed, "discovery"), instances);
        this.idleTimeoutNanos = (long) (scenario.machines().stream()
                        .mapToLong(each -> each.idleTimeout())
                        .min()
                        .orElseThrow()
                * IDLE_FRACTION);
        this.idleConnections = new FixedDelayQueue<>(clock, idleTimeoutNanos, this::closeIdle);
        IntFunction<VirtualInstance> create = factory == null
                ? number -> new VirtualInstance(this, number, zone(number))
                : number -> factory.create(this, number);
        for (int i = 0; i < scenario.fleet().instances(); i++) {
            instances.add(create.apply(i));
        }
        this.clients = new VirtualClients(this, seed, topology.trafficPattern());
    }

    /** Creates an instance for a test. */
    interface InstanceFactory {
        VirtualInstance create(VirtualSimulation simulation, int number);
    }

    /** Returns how long an attempt may be in flight: a handshake, the way there, random delays and those by faults. */
    private static long maxFlightNanos(Scenario scenario) {
        long way = Math.max(scenario.network().sameZone(), scenario.network().crossZone());
        double spread = 1 + MAX_JITTER_MULTIPLE * scenario.network().jitter();
        long faultDelay = 0;
        for (Fault each : scenario.faults()) {
            if (each.kind() == Fault.Kind.LOSS) {
                faultDelay = Math.max(faultDelay, MAX_LOSS_DELAY_NANOS);
            } else if (each.kind() == Fault.Kind.DELAY) {
                faultDelay = Math.max(faultDelay, FLIGHT_CROSSINGS * each.extraDelay());
            }
        }
        boolean drawsLoss =
                scenario.chaos().count() > 0 && scenario.chaos().kinds().contains(Fault.Kind.LOSS);
        if (drawsLoss) {
            faultDelay = MAX_LOSS_DELAY_NANOS;
        }
        return (long) (FLIGHT_CROSSINGS * way * spread) + FLIGHT_SLACK_NANOS + faultDelay;
    }

    /** Returns the zone of an instance. */
    int zone(int number) {
        return number % scenario.fleet().zones().size();
    }

    private void observe(OrderServer server) {
        if (coldServerMonitor != null) {
            server.monitorColdLoad(coldServerMonitor);
        }
        server.onColdCrash((crashed, informedFraction) -> {
            oracle.serverCrashedWhileCold(crashed.id(), informedFraction, elapsed());
            recordEvent("server " + crashed.id() + " was pushed over while cold");
        });
    }

    /** Measures the load of cold servers, which no longer crash. To be called before {@link #play}. */
    void monitorColdLoad(ColdServerMonitor monitor) {
        coldServerMonitor = monitor;
        servers().forEach(each -> each.monitorColdLoad(monitor));
    }

    /** Plays the run to its end and returns its results. To be called once. */
    public RunResult play() {
        long startedAt = System.nanoTime();
        List<Fault> faults = FaultPlayer.scheduleAll(this, scenario, seed);
        instances.forEach(this::start);
        clients.start();
        long maxDeadline = scenario.classes().stream()
                .mapToLong(each -> each.deadline())
                .max()
                .orElseThrow();
        clock.runUntil(endsAt()
                + 2 * maxDeadline
                + scenario.clients().maxRetryAfter()
                + scenario.limits().responseSlack());
        return new RunResult(
                scenario.name(),
                arm.name(),
                seed,
                statistics,
                oracle.counts(),
                oracle.violations(),
                faults,
                topology.recordedEvents(),
                digest.getValue(),
                oracle.requests(),
                clock.eventsRun(),
                System.nanoTime() - startedAt,
                attemptsByServer);
    }

    private void start(VirtualInstance instance) {
        if (!scenario.discovery().subscribe()) {
            discovery.startWatch(instance);
        }
        instance.start(
                arm.policy()
                        .create(
                                arm.settings(scenario, instance.number(), zone(instance.number())),
                                restarts.nextLong(),
                                instance),
                directory().entries(),
                directory().revision());
    }

    // For faults and for the parts of the run.

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
        VirtualInstance instance = instances.get(number);
        instance.kill();
        discovery.instanceStopped(number);
        servers().forEach(each -> oracle.readyNotified(number, each.id()));
        start(instance);
        directory().entries().stream()
                .filter(each -> each.state() != EndpointStatus.READY)
                .forEach(each -> oracle.drainNotified(number, each.server().id(), elapsed()));
    }

    @Override
    public OrderServer replaceServer(OrderServer old, boolean sameAddress) {
        OrderServer fresh = topology.fleet().replace(old);
        observe(fresh);
        return fresh;
    }

    @Override
    public void recordEvent(String what) {
        topology.recordEvent(elapsed(), what);
    }

    Scenario scenario() {
        return scenario;
    }

    Oracle oracle() {
        return oracle;
    }

    RunStatistics statistics() {
        return statistics;
    }

    VirtualDiscovery discovery() {
        return discovery;
    }

    List<VirtualInstance> instances() {
        return instances;
    }

    /** Returns the largest number of attempts of a request under this arm. */
    int attemptLimit() {
        return arm.attempts(scenario);
    }

    /** Returns when clients stop sending, in nanoseconds of the clock. */
    long endsAt() {
        return START + scenario.length();
    }

    /** Returns the nanoseconds since the start. */
    long elapsed() {
        return clock.now() - START;
    }

    /** Converts a time of the clock to nanoseconds since the start. */
    long sinceStart(long time) {
        return time - START;
    }

    /** Draws the work of one attempt, in nanoseconds of a standard core. */
    double attemptWork(VirtualRequest request) {
        double variation = scenario.classes().get(request.requestClass).attemptVariation();
        return variation == 0 ? request.work : request.work * noise.nextLognormal(variation);
    }

    /** Starts the idle timer of a connection. */
    void connectionIdle(ServerConnections.VirtualConnection connection) {
        connection.idleTimer = idleConnections.add(connection);
    }

    /** Stops the idle timer of a connection. */
    void connectionBusy(ServerConnections.VirtualConnection connection) {
        idleConnections.remove(connection.idleTimer);
    }

    private void closeIdle(ServerConnections.VirtualConnection connection) {
        if (connection.idle) {
            connection.owner.idle.remove(connection);
            connection.close();
        }
    }

    VirtualClients clients() {
        return clients;
    }

    /** A server has received an attempt completely. */
    void attemptReceived(VirtualAttempt attempt) {
        OrderServer server = attempt.serverConnections.server;
        int id = (int) server.id();
        if (id >= attemptsByServer.length) {
            attemptsByServer = Arrays.copyOf(attemptsByServer, id + ATTEMPT_COUNTER_GROWTH);
        }
        attemptsByServer[id]++;
        statistics.attemptReceived(elapsed());
        oracle.attemptReceived(
                attempt.request.trace,
                server.id(),
                server.pod().zone(),
                server.pod().number(),
                !attempt.rejected,
                elapsed());
    }

    /** Adds a response to the digest of the run. */
    void updateDigest(long request, Answer answer) {
        digestBuffer.clear();
        digestBuffer.putLong(request).putLong(clock.now()).putLong(answer.ordinal());
        digest.update(digestBuffer.flip());
    }
}
