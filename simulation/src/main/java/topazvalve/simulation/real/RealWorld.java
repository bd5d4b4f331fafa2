package topazvalve.simulation.real;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.zip.CRC32C;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.simulation.model.Clock;
import topazvalve.simulation.model.EndpointDirectory.Entry;
import topazvalve.simulation.model.FaultPlayer;
import topazvalve.simulation.model.FaultTarget;
import topazvalve.simulation.model.OrderServer;
import topazvalve.simulation.model.RandomStreams;
import topazvalve.simulation.model.Topology;
import topazvalve.simulation.oracle.Oracle;
import topazvalve.simulation.oracle.Oracle.Answer;
import topazvalve.simulation.oracle.Trace;
import topazvalve.simulation.scenario.Fault;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.tally.Run;
import topazvalve.simulation.tally.RunStatistics;

/**
 * A scenario on real sockets: stand-ins and clients on one event loop of this process, and the packaged
 * sidecar as processes between them. Loopback addresses only. All state belongs to the loop.
 */
public final class RealWorld implements FaultTarget {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** What scheduling and the kernel may add to every limit. */
    private static final long TOLERANCE = 50_000_000;

    private static final long FLIGHT = 50_000_000;
    private static final long START_LIMIT_S = 30;

    private final Scenario scenario;
    private final long seed;
    private final Path home;
    private final Path folder;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final LoopClock clock = new LoopClock(loop);
    private final Oracle oracle;
    private final RunStatistics tally;
    private final Traces traces = new Traces();
    private final RandomStreams noise;
    private final RandomStreams spread;
    private final RandomStreams restarts;
    private final Topology scene;
    private final Map<Long, ServerStandIn> stands = new HashMap<>();
    private final List<SidecarProcess> sidecars = new ArrayList<>();
    private final List<Integer> discoveryPorts = new ArrayList<>();
    private final Map<Integer, Long> killedAt = new HashMap<>();
    private final Map<Long, Long> toldStarts = new HashMap<>();
    private final List<String> now = new ArrayList<>();
    private final CRC32C digest = new CRC32C();
    private DiscoveryStandIn discovery;
    private long start;
    private long requests;
    private long[] attemptsByServer;

    /**
     * Sets the scene; nothing listens yet.
     *
     * @param home the repository's root, where the built programs are
     * @param folder takes configurations and logs
     */
    public RealWorld(Scenario scenario, long seed, Path home, Path folder) {
        this.scenario = scenario;
        this.seed = seed;
        this.home = home;
        this.folder = folder;
        this.oracle = new Oracle(
                scenario.limits(), TOLERANCE, FLIGHT + 4 * scenario.network().crossZone());
        this.tally = new RunStatistics(scenario);
        this.noise = RandomStreams.stream(seed, "noise");
        this.spread = RandomStreams.stream(seed, "spread");
        this.restarts = RandomStreams.stream(seed, "restarts");
        this.scene = onLoop(() -> new Topology(scenario, clock, seed));
        this.attemptsByServer = new long[4 * servers().size() + 64];
    }

    private <T> T onLoop(java.util.concurrent.Callable<T> what) {
        try {
            return loop.submit(what).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause().getMessage(), e.getCause());
        }
    }

    /**
     * Plays it in real time, with {@code eachSecond} told what the second before looked like and what is
     * going wrong.
     */
    public Run play(BiConsumer<RunStatistics.Second, String> eachSecond) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        // Whoever ends this process must not leave sidecars behind.
        Thread hook = new Thread(() -> sidecars.forEach(SidecarProcess::kill));
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            open();
            startSidecars();
            long began = System.nanoTime();
            List<Fault> faults = onLoop(() -> {
                start = clock.now();
                List<Fault> played = FaultPlayer.scheduleAll(this, scenario, seed);
                new RealClients(this, loop, seed, scene.trafficPattern()).start();
                return played;
            });
            int seconds = (int) (scenario.length() / 1_000_000_000L);
            for (int i = 0; i < seconds; i++) {
                int second = i;
                long until = began + (i + 2) * 1_000_000_000L;
                TimeUnit.NANOSECONDS.sleep(Math.max(0, until - System.nanoTime()));
                Map.Entry<RunStatistics.Second, String> seen =
                        onLoop(() -> Map.entry(tally.second(second), wrongNow()));
                eachSecond.accept(seen.getKey(), seen.getValue());
            }
            long rest = scenario.classes().stream()
                    .mapToLong(each -> each.deadline())
                    .max()
                    .orElseThrow();
            TimeUnit.NANOSECONDS.sleep(2 * rest + scenario.clients().maxRetryAfter());
            for (int i = 0; i < sidecars.size(); i++) {
                if (!sidecars.get(i).alive()) {
                    throw new IOException(
                            "sidecar " + i + " has ended by itself; its log is " + folder.resolve("n" + i + ".log"));
                }
            }
            return onLoop(() -> new Run(
                    scenario.name(),
                    "sidecar",
                    seed,
                    tally,
                    oracle.counts(),
                    oracle.violations(),
                    faults,
                    scene.recordedEvents(),
                    digest.getValue(),
                    requests,
                    0,
                    System.nanoTime() - began,
                    attemptsByServer));
        } finally {
            close();
            forget(hook);
        }
    }

    private static void forget(Thread hook) {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException ignored) {
            // The process is ending: the hook is running already.
        }
    }

    private String wrongNow() {
        return String.join(", ", now);
    }

    private void open() throws InterruptedException {
        List<CompletableFuture<Void>> open = new ArrayList<>();
        onLoop(() -> {
            for (OrderServer each : servers()) {
                CompletableFuture<Void> opened = new CompletableFuture<>();
                open.add(opened);
                introduce(each, ServerStandIn.ANY, () -> opened.complete(null));
            }
            return null;
        });
        open.forEach(CompletableFuture::join);
        onLoop(() -> {
            servers().forEach(directory()::add);
            discovery = new DiscoveryStandIn(loop, this, scenario.news());
            return null;
        });
        for (int i = 0; i < scenario.fleet().instances(); i++) {
            ChannelFuture bound = discovery.open(i).sync();
            discoveryPorts.add(((InetSocketAddress) bound.channel().localAddress()).getPort());
        }
    }

    private void introduce(OrderServer server, InetSocketAddress where, Runnable open) {
        server.onColdCrash((fallen, informed) -> {
            oracle.serverCrashedWhileCold(fallen.id(), informed, elapsed());
            recordEvent("server " + fallen.id() + " was pushed over while cold");
        });
        stands.put(server.id(), ServerStandIn.open(loop, this, server, where, open));
    }

    private void startSidecars() throws IOException, InterruptedException {
        for (int i = 0; i < scenario.fleet().instances(); i++) {
            sidecars.add(new SidecarProcess(home, folder, i));
            startSidecar(i);
        }
        for (SidecarProcess each : sidecars) {
            awaitUp(each);
        }
    }

    private void startSidecar(int number) throws IOException {
        ObjectNode known = onLoop(discovery::known);
        sidecars.get(number).start(scenario, discoveryPorts.get(number), known, onLoop(restarts::any));
    }

    private void awaitUp(SidecarProcess sidecar) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_LIMIT_S);
        while (!up(sidecar)) {
            if (!sidecar.alive() || System.nanoTime() > end) {
                throw new IOException("a sidecar did not start; its log is in " + folder);
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private static boolean up(SidecarProcess sidecar) {
        try {
            HttpURLConnection ask =
                    (HttpURLConnection) URI.create("http://127.0.0.1:" + sidecar.adminPort() + "/_ready")
                            .toURL()
                            .openConnection();
            ask.setConnectTimeout(500);
            ask.setReadTimeout(1000);
            return ask.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private void close() throws InterruptedException {
        for (SidecarProcess each : sidecars) {
            each.end(5_000);
        }
        onLoop(() -> {
            stands.values().forEach(ServerStandIn::close);
            return null;
        });
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    // What the stand-ins and clients ask; on the loop.

    MultiThreadIoEventLoopGroup group() {
        return group;
    }

    Scenario scenario() {
        return scenario;
    }

    Traces traces() {
        return traces;
    }

    Oracle oracle() {
        return oracle;
    }

    RunStatistics tally() {
        return tally;
    }

    int port(int instance) {
        return sidecars.get(instance).port();
    }

    long end() {
        return start + scenario.length();
    }

    long elapsed() {
        return clock.now() - start;
    }

    long sinceStart(long time) {
        return time - start;
    }

    void request() {
        requests++;
    }

    double attemptWork(Traces.Sent sent) {
        double variation = scenario.classes().get(sent.requestClass()).attemptVariation();
        return variation == 0 ? sent.work() : sent.work() * noise.lognormal(variation);
    }

    /** One way between an instance and a server, beyond what loopback takes. */
    long way(int instance, OrderServer server) {
        return link().nextDelayNanos(instance % scenario.fleet().zones().size()
                != server.pod().zone());
    }

    long newsDelay() {
        return (long) (spread.part() * scenario.news().maxPropagation());
    }

    void received(Traces.Sent sent, OrderServer server, boolean mayRun) {
        attemptsByServer[(int) Math.min(attemptsByServer.length - 1, server.id())]++;
        tally.attemptReceived(elapsed());
        oracle.attemptReceived(
                sent.trace(), server.id(), server.pod().zone(), server.pod().number(), mayRun, elapsed());
    }

    void told(int instance, List<Entry> entries) {
        for (Entry each : entries) {
            toldStarts.put(each.server().id() * 100_000 + instance, each.startedAt());
            if (each.state() == EndpointStatus.READY) {
                oracle.readyNotified(instance, each.server().id());
            } else {
                oracle.drainNotified(instance, each.server().id(), elapsed());
            }
        }
    }

    boolean knowsStart(int instance, OrderServer server) {
        return toldStarts.getOrDefault(server.id() * 100_000 + instance, -1L) >= server.startedAt();
    }

    /** Whether the instance that had this request was killed meanwhile. */
    boolean wasKilled(int instance, Trace trace) {
        return killedAt.getOrDefault(instance, -1L) >= trace.sentAt() - TOLERANCE;
    }

    ObjectNode target(Entry entry) {
        OrderServer server = entry.server();
        return JSON.createObjectNode()
                .put("uid", "s-" + server.id())
                .put("endpoint", stands.get(server.id()).endpoint())
                .put("az", scenario.fleet().zones().get(server.pod().zone()))
                .put("model", server.kind().name())
                .put("pod_group", server.pod().number())
                .put("state", DiscoveryStandIn.word(entry.state()))
                .put("capacity_hint", 1.0)
                .put("boot_ms", clock.unixMs(entry.startedAt()));
    }

    void digest(Trace trace, Answer answer) {
        digest.update(ByteBuffer.allocate(12)
                .putLong(trace.id())
                .putInt(answer.ordinal())
                .flip());
    }

    @Override
    public Clock clock() {
        return clock;
    }

    @Override
    public Topology topology() {
        return scene;
    }

    /** Killed outright and started at once; what it held has no answer. */
    @Override
    public void restartInstance(int number) {
        killedAt.put(number, elapsed());
        sidecars.get(number).kill();
        servers().forEach(each -> oracle.readyNotified(number, each.id()));
        ObjectNode known = discovery.known();
        long fresh = restarts.any();
        loop.schedule(
                () -> {
                    try {
                        sidecars.get(number).start(scenario, discoveryPorts.get(number), known, fresh);
                        directory().entries().stream()
                                .filter(each -> each.state() != EndpointStatus.READY)
                                .forEach(each -> oracle.drainNotified(
                                        number, each.server().id(), elapsed()));
                    } catch (IOException e) {
                        recordEvent("sidecar " + number + " could not be started again: " + e.getMessage());
                    }
                },
                100,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public OrderServer replaceServer(OrderServer old, boolean sameAddress) {
        OrderServer fresh = scene.fleet().replace(old);
        introduce(fresh, sameAddress ? stands.get(old.id()).address() : ServerStandIn.ANY, () -> {});
        return fresh;
    }

    @Override
    public void recordEvent(String what) {
        scene.recordEvent(elapsed(), what);
        if (what.startsWith("begins: ")) {
            now.add(what.substring(8));
        } else if (what.startsWith("ends: ")) {
            now.remove(what.substring(6));
        }
    }
}
