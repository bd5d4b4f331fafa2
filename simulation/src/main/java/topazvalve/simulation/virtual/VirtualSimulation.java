package topazvalve.simulation.virtual;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import topazvalve.simulation.model.AttemptWork;
import topazvalve.simulation.model.Clock;
import topazvalve.simulation.model.ColdServerMonitor;
import topazvalve.simulation.model.FaultInjector;
import topazvalve.simulation.model.OrderServer;
import topazvalve.simulation.model.RandomStream;
import topazvalve.simulation.model.Topology;
import topazvalve.simulation.oracle.Oracle;
import topazvalve.simulation.scenario.Fault;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.statistics.RecordedRun;
import topazvalve.simulation.statistics.RunRecorder;
import topazvalve.simulation.statistics.RunResult;

/** A run of one scenario, arm and seed in virtual time. The same three give exactly the same run. */
public final class VirtualSimulation implements RecordedRun {
    /** The clock's time at the start. Not 0, since a server whose start is 0 counts as started before the run. */
    private static final long START_NANOS = 1_000_000_000_000L;

    /** Instances close idle connections after this fraction of the servers' shortest idle timeout. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.9;

    private final Scenario scenario;
    private final ExperimentArm arm;
    private final long seed;
    private final VirtualClock clock = new VirtualClock(START_NANOS);
    private final Topology topology;
    private final RunRecorder recorder;
    private ColdServerMonitor coldServerMonitor;
    private final VirtualDiscovery discovery;
    private final AttemptWork attemptWork;
    private final RandomStream restarts;
    private final List<VirtualInstance> instances = new ArrayList<>();
    private final VirtualClients clients;
    private final IdleConnectionTimers idleConnections;

    /** Creates the servers, instances and clients of a run that has not started yet. */
    public VirtualSimulation(Scenario scenario, ExperimentArm arm, long seed) {
        this(scenario, arm, seed, null);
    }

    /** Creates a run with instances from {@code factory}, for tests of the oracle; null for normal instances. */
    VirtualSimulation(Scenario scenario, ExperimentArm arm, long seed, InstanceFactory factory) {
        this.scenario = scenario;
        this.arm = arm;
        this.seed = seed;
        this.topology = new Topology(scenario, clock, seed);
        Oracle oracle = new Oracle(scenario.limits(), 0, FlightTime.maxNanos(scenario));
        this.recorder = new RunRecorder(topology, oracle, servers().size() + 1);
        this.attemptWork = new AttemptWork(scenario, seed);
        this.restarts = RandomStream.named(seed, "restarts");
        servers().forEach(this::observe);
        servers().forEach(directory()::add);
        this.discovery = new VirtualDiscovery(
                clock, scenario.discovery(), directory(), recorder, RandomStream.named(seed, "discovery"), instances);
        this.idleConnections =
                new IdleConnectionTimers(clock, (long) (scenario.minIdleTimeout() * IDLE_TIMEOUT_FRACTION));
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

    /** Returns the zone of an instance. */
    int zone(int number) {
        return number % scenario.fleet().zones().size();
    }

    private void observe(OrderServer server) {
        if (coldServerMonitor != null) {
            server.monitorColdLoad(coldServerMonitor);
        }
        server.onColdCrash(
                (crashed, informedFraction) -> recorder.serverCrashedWhileCold(crashed, informedFraction, elapsed()));
    }

    /** Measures the load of cold servers, which then no longer crash. Must be called before {@link #run}. */
    void monitorColdLoad(ColdServerMonitor monitor) {
        coldServerMonitor = monitor;
        servers().forEach(each -> each.monitorColdLoad(monitor));
    }

    /** Runs the simulation to its end and returns the results. Must be called only once. */
    public RunResult run() {
        long startedAt = System.nanoTime();
        List<Fault> faults = FaultInjector.scheduleAll(this, scenario, seed);
        instances.forEach(this::start);
        clients.start();
        clock.runUntil(endsAt()
                + 2 * scenario.maxDeadline()
                + scenario.clients().maxRetryAfter()
                + scenario.limits().responseSlack());
        return recorder.result(arm.name(), seed, faults, clock.eventsRun(), System.nanoTime() - startedAt);
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

    // RecordedRun, and what the other classes of this package use.

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
        recorder.instanceKilled(number);
        start(instance);
        recorder.instanceRestarted(number, elapsed());
    }

    /** Not simulated: in virtual time an instance decides and writes in no time. */
    @Override
    public void stallInstance(int number, long nanos) {
        recordEvent("instance " + number + " not stalled: stalls are played on real sockets only");
    }

    @Override
    public OrderServer replaceServer(OrderServer old, boolean sameAddress) {
        OrderServer replacement = topology.fleet().replace(old);
        observe(replacement);
        return replacement;
    }

    @Override
    public void recordEvent(String description) {
        topology.recordEvent(elapsed(), description);
    }

    @Override
    public Scenario scenario() {
        return scenario;
    }

    @Override
    public RunRecorder recorder() {
        return recorder;
    }

    @Override
    public long startedAt() {
        return START_NANOS;
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

    /** Draws the work of one attempt, in nanoseconds of a standard core. */
    double attemptWork(VirtualRequest request) {
        return attemptWork.draw(request.requestClass, request.work);
    }

    /** Returns the timers that close idle connections. */
    IdleConnectionTimers idleConnections() {
        return idleConnections;
    }

    VirtualClients clients() {
        return clients;
    }

    /** A server has received an attempt completely. */
    void attemptReceived(VirtualAttempt attempt) {
        recorder.attemptReceived(attempt.request.trace, attempt.serverConnections.server, !attempt.rejected, elapsed());
    }
}
