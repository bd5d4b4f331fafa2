package topazvalve.simulation.real;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.zip.CRC32C;
import topazvalve.policy.EndpointStatus;
import topazvalve.simulation.model.Clock;
import topazvalve.simulation.model.EndpointDirectory.Entry;
import topazvalve.simulation.model.FaultPlayer;
import topazvalve.simulation.model.FaultTarget;
import topazvalve.simulation.model.OrderServer;
import topazvalve.simulation.model.RandomStream;
import topazvalve.simulation.model.Topology;
import topazvalve.simulation.oracle.Oracle;
import topazvalve.simulation.oracle.Oracle.Answer;
import topazvalve.simulation.oracle.Trace;
import topazvalve.simulation.real.SentRequests.SentRequest;
import topazvalve.simulation.scenario.Fault;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.statistics.RunResult;
import topazvalve.simulation.statistics.RunStatistics;

/**
 * A run of one scenario and seed in real time on loopback: stand-ins and clients on one event loop of this process, and
 * the packaged sidecar as processes between them. All state belongs to the event loop.
 */
public final class RealTimeSimulation implements FaultTarget {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    /** What scheduling and the kernel may add to every limit. */
    private static final long TOLERANCE_NANOS = 50_000_000;

    private static final long MAX_FLIGHT_NANOS = 50_000_000;
    /** How often an attempt on a new connection may cross zones before the server has received it. */
    private static final int FLIGHT_CROSSINGS = 4;

    private static final long RESTART_DELAY_MILLIS = 100;
    /** More than the number of instances; makes keys of instance and server unique. */
    private static final long INSTANCE_LIMIT = 100_000;
    /** Bytes of one response in the digest: request and answer. */
    private static final int DIGEST_BYTES = 12;

    private final Scenario scenario;
    private final long seed;
    private final Path home;
    private final Path folder;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final LoopClock clock = new LoopClock(loop);
    private final Oracle oracle;
    private final RunStatistics statistics;
    private final SentRequests sentRequests = new SentRequests();
    private final RandomStream noise;
    private final RandomStream propagation;
    private final RandomStream restarts;
    private final Topology topology;
    private final Map<Long, ServerStandIn> servers = new HashMap<>();
    private final SidecarFleet sidecars;
    private final List<Integer> discoveryPorts = new ArrayList<>();
    /** By instance. */
    private final Map<Integer, Long> killedAt = new HashMap<>();
    /** The starts of servers of which instances were notified. */
    private final Map<Long, Long> knownStarts = new HashMap<>();

    private final List<String> activeFaults = new ArrayList<>();
    private final CRC32C digest = new CRC32C();
    private DiscoveryStandIn discovery;
    private long start;
    private long requests;
    private final long[] attemptsByServer;

    /**
     * Creates a run that hasn't started; nothing listens yet.
     *
     * @param home the root of the repository, where the built programs are
     * @param folder takes configurations and logs
     */
    public RealTimeSimulation(Scenario scenario, long seed, Path home, Path folder) {
        this.scenario = scenario;
        this.seed = seed;
        this.home = home;
        this.folder = folder;
        long maxFlight =
                MAX_FLIGHT_NANOS + FLIGHT_CROSSINGS * scenario.network().crossZone();
        this.oracle = new Oracle(scenario.limits(), TOLERANCE_NANOS, maxFlight);
        this.statistics = new RunStatistics(scenario);
        this.noise = RandomStream.named(seed, "noise");
        this.propagation = RandomStream.named(seed, "spread");
        this.restarts = RandomStream.named(seed, "restarts");
        this.topology = onLoop(() -> new Topology(scenario, clock, seed));
        this.sidecars = new SidecarFleet(scenario, folder);
        this.attemptsByServer = new long[4 * servers().size() + 64];
    }

    /** Runs a task on the event loop and waits for its result. */
    private <T> T onLoop(Callable<T> task) {
        try {
            return loop.submit(task).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause().getMessage(), e.getCause());
        }
    }

    /**
     * Plays the run in real time. To be called once.
     *
     * @param eachSecond is called every second with the statistics of the second before and the active faults
     * @return the results
     * @throws IOException if a sidecar doesn't start, or ends by itself
     */
    public RunResult play(BiConsumer<RunStatistics.Second, String> eachSecond)
            throws IOException, InterruptedException {
        Files.createDirectories(folder);
        // Sidecars must not outlive this process, however it ends.
        Thread hook = new Thread(sidecars::killAll);
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            openServersAndDiscovery();
            startSidecars();
            long startedAt = System.nanoTime();
            List<Fault> faults = onLoop(this::startClientsAndFaults);
            reportSeconds(startedAt, eachSecond);
            awaitLastResponses();
            sidecars.checkAlive();
            return onLoop(() -> result(faults, startedAt));
        } finally {
            close();
            removeHook(hook);
        }
    }

    private void openServersAndDiscovery() throws InterruptedException {
        List<CompletableFuture<Void>> openServers = new ArrayList<>();
        onLoop(() -> {
            for (OrderServer each : servers()) {
                CompletableFuture<Void> open = new CompletableFuture<>();
                openServers.add(open);
                openServer(each, ServerStandIn.ANY_PORT, () -> open.complete(null));
            }
            return null;
        });
        openServers.forEach(CompletableFuture::join);
        onLoop(() -> {
            servers().forEach(directory()::add);
            discovery = new DiscoveryStandIn(loop, this, scenario.discovery());
            return null;
        });
        for (int i = 0; i < scenario.fleet().instances(); i++) {
            ChannelFuture bound = discovery.open(i).sync();
            discoveryPorts.add(((InetSocketAddress) bound.channel().localAddress()).getPort());
        }
    }

    private void openServer(OrderServer server, InetSocketAddress bindAddress, Runnable onOpen) {
        server.onColdCrash((crashed, informedFraction) -> {
            oracle.serverCrashedWhileCold(crashed.id(), informedFraction, elapsed());
            recordEvent("server " + crashed.id() + " was pushed over while cold");
        });
        servers.put(server.id(), ServerStandIn.open(loop, this, server, bindAddress, onOpen));
    }

    private void startSidecars() throws IOException, InterruptedException {
        for (int i = 0; i < scenario.fleet().instances(); i++) {
            // It picks free ports, so discovery's have to be bound before.
            sidecars.add(home, discoveryPorts.get(i));
            ObjectNode cachedList = onLoop(discovery::fullList);
            sidecars.start(i, cachedList, onLoop(restarts::nextLong));
        }
        sidecars.awaitReady();
    }

    private List<Fault> startClientsAndFaults() {
        start = clock.now();
        List<Fault> faults = FaultPlayer.scheduleAll(this, scenario, seed);
        new RealClients(this, loop, seed, topology.trafficPattern()).start();
        return faults;
    }

    /** Reports each second one second after it has ended, when most of its responses have arrived. */
    private void reportSeconds(long startedAt, BiConsumer<RunStatistics.Second, String> eachSecond)
            throws InterruptedException {
        int seconds = (int) (scenario.length() / NANOS_PER_SECOND);
        for (int i = 0; i < seconds; i++) {
            int second = i;
            long reportAt = startedAt + (i + 2) * NANOS_PER_SECOND;
            TimeUnit.NANOSECONDS.sleep(Math.max(0, reportAt - System.nanoTime()));
            Map.Entry<RunStatistics.Second, String> report =
                    onLoop(() -> Map.entry(statistics.second(second), String.join(", ", activeFaults)));
            eachSecond.accept(report.getKey(), report.getValue());
        }
    }

    private void awaitLastResponses() throws InterruptedException {
        long maxDeadline = scenario.classes().stream()
                .mapToLong(each -> each.deadline())
                .max()
                .orElseThrow();
        TimeUnit.NANOSECONDS.sleep(2 * maxDeadline + scenario.clients().maxRetryAfter());
    }

    private RunResult result(List<Fault> faults, long startedAt) {
        return new RunResult(
                scenario.name(),
                "sidecar",
                seed,
                statistics,
                oracle.counts(),
                oracle.violations(),
                faults,
                topology.recordedEvents(),
                digest.getValue(),
                requests,
                0,
                System.nanoTime() - startedAt,
                attemptsByServer);
    }

    private void close() throws InterruptedException {
        sidecars.stopAll();
        onLoop(() -> {
            servers.values().forEach(ServerStandIn::close);
            return null;
        });
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private static void removeHook(Thread hook) {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException ignored) {
            // The process is ending, so that the hook is running already.
        }
    }

    // For the stand-ins and clients, on the event loop.

    MultiThreadIoEventLoopGroup group() {
        return group;
    }

    Scenario scenario() {
        return scenario;
    }

    SentRequests sentRequests() {
        return sentRequests;
    }

    Oracle oracle() {
        return oracle;
    }

    RunStatistics statistics() {
        return statistics;
    }

    /** Returns the port of an instance's clients. */
    int port(int instance) {
        return sidecars.port(instance);
    }

    /** Returns when clients stop sending, in nanoseconds of the clock. */
    long endsAt() {
        return start + scenario.length();
    }

    /** Returns the nanoseconds since the start. */
    long elapsed() {
        return clock.now() - start;
    }

    /** Converts a time of the clock to nanoseconds since the start. */
    long sinceStart(long time) {
        return time - start;
    }

    /** A client has sent a request. */
    void requestSent() {
        requests++;
    }

    /** Draws the work of one attempt, in nanoseconds of a standard core. */
    double attemptWork(SentRequest request) {
        double variation = scenario.classes().get(request.requestClass()).attemptVariation();
        return variation == 0 ? request.work() : request.work() * noise.nextLognormal(variation);
    }

    /** Draws a one-way delay between an instance and a server, which is added to that of loopback. */
    long nextDelayNanos(int instance, OrderServer server) {
        int zone = instance % scenario.fleet().zones().size();
        return link().nextDelayNanos(zone != server.pod().zone());
    }

    /** Draws the time until a change of the endpoint list reaches the instances. */
    long nextPropagationNanos() {
        return (long) (propagation.nextDouble() * scenario.discovery().maxPropagation());
    }

    /** A server has received an attempt completely; {@code mayRun} is false if it rejected it. */
    void attemptReceived(SentRequest request, OrderServer server, boolean mayRun) {
        attemptsByServer[(int) Math.min(attemptsByServer.length - 1, server.id())]++;
        statistics.attemptReceived(elapsed());
        oracle.attemptReceived(
                request.trace(), server.id(), server.pod().zone(), server.pod().number(), mayRun, elapsed());
    }

    /** An instance has been notified of endpoints. */
    void endpointsNotified(int instance, List<Entry> entries) {
        for (Entry each : entries) {
            long server = each.server().id();
            knownStarts.put(notificationKey(instance, server), each.startedAt());
            if (each.state() == EndpointStatus.READY) {
                oracle.readyNotified(instance, server);
            } else {
                oracle.drainNotified(instance, server, elapsed());
            }
        }
    }

    /** Returns whether an instance has been notified of a server's last start. */
    boolean knowsStart(int instance, OrderServer server) {
        return knownStarts.getOrDefault(notificationKey(instance, server.id()), -1L) >= server.startedAt();
    }

    private static long notificationKey(int instance, long server) {
        return server * INSTANCE_LIMIT + instance;
    }

    /** Returns whether the instance that had a request was killed after the request was sent. */
    boolean wasKilled(int instance, Trace trace) {
        return killedAt.getOrDefault(instance, -1L) >= trace.sentAt() - TOLERANCE_NANOS;
    }

    /** Returns an entry of the endpoint list in the JSON of discovery. */
    ObjectNode toJson(Entry entry) {
        OrderServer server = entry.server();
        return JSON.createObjectNode()
                .put("uid", "s-" + server.id())
                .put("endpoint", servers.get(server.id()).endpoint())
                .put("az", scenario.fleet().zones().get(server.pod().zone()))
                .put("model", server.kind().name())
                .put("pod_group", server.pod().number())
                .put("state", DiscoveryStandIn.stateName(entry.state()))
                .put("capacity_hint", 1.0)
                .put("boot_ms", clock.unixMs(entry.startedAt()));
    }

    /** Adds a response to the digest of the run. */
    void updateDigest(Trace trace, Answer answer) {
        digest.update(ByteBuffer.allocate(DIGEST_BYTES)
                .putLong(trace.id())
                .putInt(answer.ordinal())
                .flip());
    }

    // For faults.

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
        killedAt.put(number, elapsed());
        sidecars.kill(number);
        servers().forEach(each -> oracle.readyNotified(number, each.id()));
        ObjectNode cachedList = discovery.fullList();
        long newSeed = restarts.nextLong();
        loop.schedule(() -> startAgain(number, cachedList, newSeed), RESTART_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void startAgain(int number, ObjectNode cachedList, long newSeed) {
        try {
            sidecars.start(number, cachedList, newSeed);
        } catch (IOException e) {
            recordEvent("sidecar " + number + " could not be started again: " + e.getMessage());
            return;
        }
        directory().entries().stream()
                .filter(each -> each.state() != EndpointStatus.READY)
                .forEach(each -> oracle.drainNotified(number, each.server().id(), elapsed()));
    }

    @Override
    public OrderServer replaceServer(OrderServer old, boolean sameAddress) {
        OrderServer replacement = topology.fleet().replace(old);
        InetSocketAddress address = sameAddress ? servers.get(old.id()).address() : ServerStandIn.ANY_PORT;
        openServer(replacement, address, () -> {});
        return replacement;
    }

    @Override
    public void recordEvent(String what) {
        topology.recordEvent(elapsed(), what);
        if (what.startsWith(FaultPlayer.BEGIN_PREFIX)) {
            activeFaults.add(what.substring(FaultPlayer.BEGIN_PREFIX.length()));
        } else if (what.startsWith(FaultPlayer.END_PREFIX)) {
            activeFaults.remove(what.substring(FaultPlayer.END_PREFIX.length()));
        }
    }
}
