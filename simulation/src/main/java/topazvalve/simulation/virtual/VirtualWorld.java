package topazvalve.simulation.virtual;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntFunction;
import java.util.zip.CRC32C;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.simulation.model.Clock;
import topazvalve.simulation.model.ColdServerMonitor;
import topazvalve.simulation.model.FaultPlayer;
import topazvalve.simulation.model.FaultTarget;
import topazvalve.simulation.model.OrderServer;
import topazvalve.simulation.model.RandomStreams;
import topazvalve.simulation.model.Topology;
import topazvalve.simulation.oracle.Oracle;
import topazvalve.simulation.oracle.Oracle.Answer;
import topazvalve.simulation.scenario.Fault;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.tally.Run;
import topazvalve.simulation.tally.RunStatistics;

/** One scenario, one arm, one seed, in virtual time: the same three give the same run to the last event. */
public final class VirtualWorld implements FaultTarget {
    /** A start far from 0, since a server that started at 0 counts as started long ago. */
    private static final long START = 1_000_000_000_000L;

    private static final double IDLE_SHARE = 0.9;

    private final Scenario scenario;
    private final ExperimentArm arm;
    private final long seed;
    private final VirtualClock clock = new VirtualClock(START);
    private final Oracle oracle;
    private ColdServerMonitor coldWatch;
    private final RunStatistics tally;
    private final Topology scene;
    private final VirtualDiscovery discovery;
    private final RandomStreams noise;
    private final RandomStreams restarts;
    private final List<VirtualInstance> instances = new ArrayList<>();
    private final VirtualClients clients;
    private final DelayLine<Peer.Connection> idleConnections;
    private final long keepIdle;
    private final CRC32C digest = new CRC32C();
    private final ByteBuffer digested = ByteBuffer.allocate(24);
    private long[] attemptsByServer;

    /** Sets the scene. */
    public VirtualWorld(Scenario scenario, ExperimentArm arm, long seed) {
        this(scenario, arm, seed, null);
    }

    /** For the oracle's tests: with sidecars of another make. */
    VirtualWorld(Scenario scenario, ExperimentArm arm, long seed, Make others) {
        this.scenario = scenario;
        this.arm = arm;
        this.seed = seed;
        this.oracle = new Oracle(scenario.limits(), 0, flight(scenario));
        this.tally = new RunStatistics(scenario);
        this.scene = new Topology(scenario, clock, seed);
        this.attemptsByServer = new long[servers().size() + 1];
        this.noise = RandomStreams.stream(seed, "noise");
        this.restarts = RandomStreams.stream(seed, "restarts");
        servers().forEach(this::introduce);
        servers().forEach(directory()::add);
        this.discovery = new VirtualDiscovery(
                clock, scenario.news(), directory(), oracle, RandomStreams.stream(seed, "discovery"), instances);
        this.keepIdle = (long) (scenario.machines().stream()
                        .mapToLong(each -> each.idleTimeout())
                        .min()
                        .orElseThrow()
                * IDLE_SHARE);
        this.idleConnections = new DelayLine<>(clock, keepIdle, this::stale);
        IntFunction<VirtualInstance> make = others == null
                ? number -> new VirtualInstance(this, number, zone(number))
                : number -> others.make(this, number);
        for (int i = 0; i < scenario.fleet().instances(); i++) {
            instances.add(make.apply(i));
        }
        this.clients = new VirtualClients(this, seed, scene.trafficPattern());
    }

    /** Makes a sidecar for a test. */
    interface Make {
        VirtualInstance make(VirtualWorld world, int number);
    }

    /** How long an attempt may be under way: a handshake, the way there, and what chance adds. */
    private static long flight(Scenario scenario) {
        long way = Math.max(scenario.network().sameZone(), scenario.network().crossZone());
        double spread = 1 + 20 * scenario.network().jitter();
        long extra = 0;
        for (Fault each : scenario.faults()) {
            extra = Math.max(extra, each.kind() == Fault.Kind.LOSS ? 2_000_000_000L : 0);
            extra = Math.max(extra, each.kind() == Fault.Kind.DELAY ? 3 * each.extraDelay() : 0);
        }
        boolean drawn = scenario.chaos().count() > 0 && scenario.chaos().kinds().contains(Fault.Kind.LOSS);
        return (long) (3 * way * spread) + 1_000_000 + (drawn ? 2_000_000_000L : extra);
    }

    int zone(int number) {
        return number % scenario.fleet().zones().size();
    }

    private void introduce(OrderServer server) {
        if (coldWatch != null) {
            server.monitorColdLoad(coldWatch);
        }
        server.onColdCrash((fallen, informed) -> {
            oracle.serverCrashedWhileCold(fallen.id(), informed, elapsed());
            recordEvent("server " + fallen.id() + " was pushed over while cold");
        });
    }

    /** Cold servers are watched and don't fall; before the run is played. */
    void watchCold(ColdServerMonitor watch) {
        coldWatch = watch;
        servers().forEach(each -> each.monitorColdLoad(watch));
    }

    /** Plays the whole run. */
    public Run play() {
        long began = System.nanoTime();
        List<Fault> faults = FaultPlayer.scheduleAll(this, scenario, seed);
        instances.forEach(this::begin);
        clients.start();
        long rest = scenario.classes().stream()
                .mapToLong(each -> each.deadline())
                .max()
                .orElseThrow();
        clock.runUntil(end()
                + 2 * rest
                + scenario.clients().maxRetryAfter()
                + scenario.limits().responseSlack());
        return new Run(
                scenario.name(),
                arm.name(),
                seed,
                tally,
                oracle.counts(),
                oracle.violations(),
                faults,
                scene.recordedEvents(),
                digest.getValue(),
                oracle.requests(),
                clock.fired(),
                System.nanoTime() - began,
                attemptsByServer);
    }

    private void begin(VirtualInstance instance) {
        if (!scenario.news().subscribe()) {
            discovery.follow(instance);
        }
        instance.start(
                arm.policy()
                        .create(
                                arm.settings(scenario, instance.number(), zone(instance.number())),
                                restarts.any(),
                                instance),
                directory().entries(),
                directory().revision());
    }

    // What parts of the world ask of it.

    @Override
    public Clock clock() {
        return clock;
    }

    @Override
    public Topology topology() {
        return scene;
    }

    @Override
    public void restartInstance(int number) {
        VirtualInstance instance = instances.get(number);
        instance.kill();
        discovery.forget(number);
        servers().forEach(each -> oracle.readyNotified(number, each.id()));
        begin(instance);
        directory().entries().stream()
                .filter(each -> each.state() != EndpointStatus.READY)
                .forEach(each -> oracle.drainNotified(number, each.server().id(), elapsed()));
    }

    @Override
    public OrderServer replaceServer(OrderServer old, boolean sameAddress) {
        OrderServer fresh = scene.fleet().replace(old);
        introduce(fresh);
        return fresh;
    }

    @Override
    public void recordEvent(String what) {
        scene.recordEvent(elapsed(), what);
    }

    Scenario scenario() {
        return scenario;
    }

    Oracle oracle() {
        return oracle;
    }

    RunStatistics tally() {
        return tally;
    }

    VirtualDiscovery discovery() {
        return discovery;
    }

    List<VirtualInstance> instances() {
        return instances;
    }

    int attemptLimit() {
        return arm.attempts(scenario);
    }

    long end() {
        return START + scenario.length();
    }

    long elapsed() {
        return clock.now() - START;
    }

    long sinceStart(long time) {
        return time - START;
    }

    double attemptWork(VirtualCall call) {
        double variation = scenario.classes().get(call.requestClass).attemptVariation();
        return variation == 0 ? call.work : call.work * noise.lognormal(variation);
    }

    void idle(Peer.Connection connection) {
        connection.staleness = idleConnections.add(connection);
    }

    void busy(Peer.Connection connection) {
        idleConnections.remove(connection.staleness);
    }

    private void stale(Peer.Connection connection) {
        if (connection.idle) {
            connection.peer.idle.remove(connection);
            connection.close();
        }
    }

    VirtualClients clients() {
        return clients;
    }

    void received(VirtualAttempt attempt) {
        OrderServer server = attempt.peer.server;
        int id = (int) server.id();
        if (id >= attemptsByServer.length) {
            attemptsByServer = Arrays.copyOf(attemptsByServer, id + 16);
        }
        attemptsByServer[id]++;
        tally.attempt(elapsed());
        oracle.attemptReceived(
                attempt.call.trace,
                server.id(),
                server.pod().zone(),
                server.pod().number(),
                !attempt.turnedAway,
                elapsed());
    }

    void digest(long request, Answer answer) {
        digested.clear();
        digested.putLong(request).putLong(clock.now()).putLong(answer.ordinal());
        digest.update(digested.flip());
    }
}
