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
import topazvalve.simulation.scenario.Fault;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.statistics.RunResult;
import topazvalve.simulation.statistics.RunStatistics;

/**
 * A run of one scenario and seed in real time on loopback: stand-ins and clients on one event loop of this process, and
 * the packaged sidecar as processes between them.
 */
public final class RealTimeSimulation {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final String ARM = "sidecar";

    private final Scenario scenario;
    private final long seed;
    private final Path home;
    private final Path folder;
    private final SidecarFleet sidecars;
    private final EventLoopThread thread = new EventLoopThread();
    private final RunState run;

    /**
     * Creates a run that hasn't started; nothing listens yet.
     *
     * @param home the root of the repository, where the built programs are
     * @param folder takes configurations and logs
     * @throws SimulationFailedException if the simulation itself fails
     */
    public RealTimeSimulation(Scenario scenario, long seed, Path home, Path folder) throws InterruptedException {
        this.scenario = scenario;
        this.seed = seed;
        this.home = home;
        this.folder = folder;
        this.sidecars = new SidecarFleet(scenario, folder);
        this.run = thread.call(() -> new RunState(scenario, seed, thread.loop(), sidecars));
    }

    /**
     * Performs the run in real time. To be called once.
     *
     * @param eachSecond is called every second with the statistics of the second before and the active faults
     * @return the results
     * @throws SidecarStartException if a sidecar doesn't start
     * @throws SidecarExitedException if a sidecar ends by itself
     * @throws SimulationFailedException if the simulation itself fails
     */
    public RunResult run(BiConsumer<RunStatistics.Second, String> eachSecond) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        // Sidecars must not outlive this process, however it ends.
        Thread hook = new Thread(sidecars::killAll);
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            openServers();
            openDiscovery();
            startSidecars();
            long startedAt = System.nanoTime();
            List<Fault> faults = thread.call(this::startClientsAndFaults);
            reportSeconds(startedAt, eachSecond);
            awaitLastResponses();
            sidecars.checkAlive();
            return thread.call(() -> run.recorder().result(ARM, seed, faults, 0, System.nanoTime() - startedAt));
        } finally {
            close();
            removeHook(hook);
        }
    }

    private void openServers() throws InterruptedException {
        List<CompletableFuture<Void>> open = new ArrayList<>();
        thread.run(() -> {
            for (OrderServer each : run.servers()) {
                open.add(run.serverSockets().open(each));
            }
        });
        open.forEach(CompletableFuture::join);
    }

    private void openDiscovery() throws InterruptedException {
        DiscoveryStandIn discovery = thread.call(() -> {
            run.servers().forEach(run.directory()::add);
            return new DiscoveryStandIn(run);
        });
        for (int i = 0; i < scenario.fleet().instances(); i++) {
            ChannelFuture bound = discovery.open(i).sync();
            // A sidecar picks free ports, so that discovery's have to be bound before.
            sidecars.addDiscoveryPort(((InetSocketAddress) bound.channel().localAddress()).getPort());
        }
    }

    private void startSidecars() throws IOException, InterruptedException {
        for (int i = 0; i < scenario.fleet().instances(); i++) {
            sidecars.add(home);
            ObjectNode cachedList = thread.call(run::fullList);
            sidecars.start(i, cachedList, thread.call(run::nextInstanceSeed));
        }
        sidecars.awaitReady();
    }

    private List<Fault> startClientsAndFaults() {
        run.start();
        List<Fault> faults = FaultInjector.scheduleAll(run, scenario, seed);
        new RealClients(run, seed).start();
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
            RunStatistics.Second statistics = thread.call(() -> run.statistics().second(second));
            eachSecond.accept(statistics, thread.call(run.activeFaults()::toString));
        }
    }

    private void awaitLastResponses() throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(
                2 * scenario.maxDeadline() + scenario.clients().maxRetryAfter());
    }

    private void close() throws InterruptedException {
        sidecars.stopAll();
        thread.run(run.serverSockets()::closeAll);
        thread.close();
    }

    private static void removeHook(Thread hook) {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException ignored) {
            // The process is ending, so that the hook is running already.
        }
    }
}
