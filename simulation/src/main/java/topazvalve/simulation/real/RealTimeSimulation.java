package topazvalve.simulation.real;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import topazvalve.simulation.SidecarExitedException;
import topazvalve.simulation.SidecarStartException;
import topazvalve.simulation.SimulationFailedException;
import topazvalve.simulation.model.FaultInjector;
import topazvalve.simulation.model.OrderServer;
import topazvalve.simulation.oracle.Violation;
import topazvalve.simulation.scenario.Fault;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.statistics.RunResult;
import topazvalve.simulation.statistics.RunStatistics;

/**
 * Runs one scenario with one seed in real time on loopback: stand-ins and clients share one event loop of this process,
 * and packaged sidecars run as processes between them.
 */
public final class RealTimeSimulation {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final String ARM = "sidecar";

    private final Scenario scenario;
    private final long seed;
    private final Path repositoryRoot;
    private final Path workDirectory;
    private final SidecarFleet sidecars;
    private final EventLoopThread eventLoop = new EventLoopThread();
    private final RunState run;
    private HoldUps holdUps;
    private long startedAtNanos;
    /** What the sidecars held at the end of the run. */
    private List<ProcessResources> resources = List.of();

    /**
     * Creates a run that hasn't started; nothing listens yet.
     *
     * @param repositoryRoot the root of the repository, where the built programs are
     * @param workDirectory the directory for configurations and logs
     * @throws SimulationFailedException if the simulation itself fails
     */
    public RealTimeSimulation(Scenario scenario, long seed, Path repositoryRoot, Path workDirectory)
            throws InterruptedException {
        this.scenario = scenario;
        this.seed = seed;
        this.repositoryRoot = repositoryRoot;
        this.workDirectory = workDirectory;
        this.sidecars = new SidecarFleet(scenario, workDirectory);
        this.run = eventLoop.call(() -> new RunState(scenario, seed, eventLoop.loop(), sidecars));
    }

    /**
     * Performs the run in real time. Must be called only once.
     *
     * @param onSecond receives the statistics of each second, one second after its end, and the active faults
     * @return the results
     * @throws SidecarStartException if a sidecar does not become ready
     * @throws SidecarExitedException if a sidecar exits by itself
     * @throws SimulationFailedException if the simulation itself fails
     */
    public RunResult run(BiConsumer<RunStatistics.Second, String> onSecond) throws IOException, InterruptedException {
        Files.createDirectories(workDirectory);
        holdUps = new HoldUps(sidecars::pids);
        // Sidecars must not outlive this process, however it ends.
        Thread shutdownHook = new Thread(sidecars::killAll);
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try {
            openServers();
            openDiscovery();
            startSidecars();
            long startedAt = System.nanoTime();
            startedAtNanos = startedAt;
            List<Fault> faults = eventLoop.call(this::startClientsAndFaults);
            reportSeconds(startedAt, onSecond);
            awaitLastResponses();
            sidecars.checkAlive();
            resources = sidecars.resources();
            return eventLoop.call(() -> run.recorder().result(ARM, seed, faults, 0, System.nanoTime() - startedAt));
        } finally {
            close();
            removeShutdownHook(shutdownHook);
        }
    }

    /** Returns who is answerable for a violation of this run, which is over. */
    public HoldUps.Verdict verdict(Violation violation) {
        return holdUps.verdict(violation, startedAtNanos, sidecars.stops());
    }

    /** Returns what the sidecars held at the end of the run, which is over. */
    public List<ProcessResources> resources() {
        return resources;
    }

    private void openServers() throws InterruptedException {
        List<CompletableFuture<Void>> opened = new ArrayList<>();
        eventLoop.run(() -> {
            for (OrderServer each : run.servers()) {
                opened.add(run.serverSockets().open(each));
            }
        });
        opened.forEach(CompletableFuture::join);
    }

    private void openDiscovery() throws InterruptedException {
        DiscoveryStandIn discovery = eventLoop.call(() -> {
            run.servers().forEach(run.directory()::add);
            return new DiscoveryStandIn(run);
        });
        for (int i = 0; i < scenario.fleet().instances(); i++) {
            ChannelFuture bound = discovery.open(i).sync();
            // Sidecars choose free ports, so the ports of discovery have to be bound first.
            sidecars.addDiscoveryPort(((InetSocketAddress) bound.channel().localAddress()).getPort());
        }
    }

    private void startSidecars() throws IOException, InterruptedException {
        for (int i = 0; i < scenario.fleet().instances(); i++) {
            sidecars.add(repositoryRoot);
            ObjectNode cachedList = eventLoop.call(run::fullList);
            sidecars.start(i, cachedList, eventLoop.call(run::nextInstanceSeed));
        }
        sidecars.awaitReady();
    }

    private List<Fault> startClientsAndFaults() {
        run.start();
        List<Fault> faults = FaultInjector.scheduleAll(run, scenario, seed);
        new RealClients(run, seed).start();
        return faults;
    }

    /** Reports each second of the run one second after its end, when most of its responses have arrived. */
    private void reportSeconds(long startedAt, BiConsumer<RunStatistics.Second, String> onSecond)
            throws InterruptedException {
        int seconds = (int) (scenario.length() / NANOS_PER_SECOND);
        for (int i = 0; i < seconds; i++) {
            int second = i;
            long reportAt = startedAt + (i + 2) * NANOS_PER_SECOND;
            TimeUnit.NANOSECONDS.sleep(Math.max(0, reportAt - System.nanoTime()));
            RunStatistics.Second statistics =
                    eventLoop.call(() -> run.statistics().second(second));
            onSecond.accept(statistics, eventLoop.call(run.activeFaults()::toString));
        }
    }

    private void awaitLastResponses() throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(
                2 * scenario.maxDeadline() + scenario.clients().maxRetryAfter());
    }

    private void close() throws InterruptedException {
        holdUps.close();
        sidecars.stopAll();
        eventLoop.run(run.serverSockets()::closeAll);
        eventLoop.close();
    }

    private static void removeShutdownHook(Thread shutdownHook) {
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException ignored) {
            // The process is exiting, so the hook is already running.
        }
    }
}
