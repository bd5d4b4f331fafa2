package topazvalve.simulation.real;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.SidecarExitedException;
import topazvalve.simulation.SidecarStartException;
import topazvalve.simulation.scenario.Scenario;

/** The sidecar processes of a run in real time. */
final class SidecarFleet {
    private static final long START_TIMEOUT_SECONDS = 30;
    private static final long READY_POLL_MILLIS = 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int READ_TIMEOUT_MILLIS = 1000;
    private static final Duration STOP_GRACE = Duration.ofSeconds(5);

    private static final long NEVER = -1;
    /** A request that came so late before SIGKILL may be unanswered. */
    private static final long UNANSWERED_AT_KILL_NANOS = 500_000_000;

    private final Scenario scenario;
    private final Path workDirectory;
    private final List<SidecarProcess> sidecars = new CopyOnWriteArrayList<>();
    private final List<Integer> discoveryPorts = new ArrayList<>();
    /** By sidecar, the time of its last kill in nanoseconds from the start of the run. */
    private final Map<Integer, Long> killedAt = new HashMap<>();
    /** By sidecar, when it got SIGTERM; absent unless it is being shut down. Times as above. */
    private final Map<Integer, Long> shutDownAt = new HashMap<>();
    /** By sidecar, since when requests were excused by its last kill, if that ended a shutdown. */
    private final Map<Integer, Long> excusedSince = new HashMap<>();
    /** By sidecar, the end of its last stall in nanoseconds from the start of the run. */
    private final Map<Integer, Long> stallEnds = new HashMap<>();

    private final List<Stop> stops = new CopyOnWriteArrayList<>();
    /** The sidecars that have been started and were not ready yet. */
    private final Set<Integer> starting = ConcurrentHashMap.newKeySet();

    /** A sidecar was stopped by a signal, from and until these times in nanoseconds from the start of the run. */
    record Stop(int instance, long from, long until) {}

    SidecarFleet(Scenario scenario, Path workDirectory) {
        this.scenario = scenario;
        this.workDirectory = workDirectory;
    }

    /** Adds the discovery port of the next sidecar. */
    void addDiscoveryPort(int port) {
        discoveryPorts.add(port);
    }

    /**
     * Adds a sidecar that isn't started yet.
     *
     * @param repositoryRoot the root of the repository, where the built programs are
     */
    void add(Path repositoryRoot) throws IOException {
        sidecars.add(new SidecarProcess(repositoryRoot, workDirectory, sidecars.size()));
    }

    /**
     * Starts a sidecar without waiting until it is ready.
     *
     * @param cachedList the cached endpoint list that it starts with
     * @param seed the seed of its load balancer
     */
    void start(int number, ObjectNode cachedList, long seed) throws IOException {
        SidecarProcess sidecar = sidecars.get(number);
        starting.add(number);
        sidecar.start(scenario, discoveryPorts.get(number), cachedList, seed);
        DisturbingClients.start(() -> observeStart(number, sidecar.process()));
    }

    /** Waits until a started process is ready, unless it ends before. */
    private void observeStart(int number, Process process) {
        try {
            while (process.isAlive() && !isReady(sidecars.get(number))) {
                TimeUnit.MILLISECONDS.sleep(READY_POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (process.isAlive()) {
            starting.remove(number);
        }
    }

    /** Returns whether a sidecar has been ready since its last start; its clients wait for that. */
    boolean hasBeenReady(int number) {
        return !starting.contains(number);
    }

    /** Returns when sidecars were stopped by {@link #suspend}. */
    List<Stop> stops() {
        return stops;
    }

    /** Returns the port that the clients of a sidecar connect to. */
    int port(int number) {
        return sidecars.get(number).port();
    }

    /** Kills a sidecar; {@code at} is the time from the start of the run in nanoseconds. */
    void kill(int number, long at) {
        killedAt.put(number, at);
        excusedSince.remove(number);
        sidecars.get(number).kill();
    }

    /**
     * Stops a sidecar as it is; it continues after the returned action has run.
     *
     * @param at the time from the start of the run in nanoseconds
     * @param nanos how long it will be stopped, in nanoseconds
     */
    Runnable suspend(int number, long at, long nanos) throws IOException {
        stallEnds.put(number, at + nanos);
        stops.add(new Stop(number, at, at + nanos));
        return sidecars.get(number).suspend();
    }

    /** Makes a sidecar reload its configuration, which has not changed. */
    void reload(int number) throws IOException {
        // The platform sends no SIGHUP before a sidecar is ready; a process that has just begun would end.
        if (hasBeenReady(number)) {
            sidecars.get(number).reload();
        }
    }

    /** Returns the process ids of the sidecars that run; may be called on any thread. */
    List<Long> pids() {
        return sidecars.stream()
                .map(SidecarProcess::pid)
                .filter(OptionalLong::isPresent)
                .map(OptionalLong::getAsLong)
                .toList();
    }

    /**
     * Sends SIGTERM to a sidecar, unless it is being shut down already; returns whether it was sent.
     *
     * @param at the time from the start of the run in nanoseconds
     */
    boolean shutDown(int number, long at) {
        return shutDownAt.putIfAbsent(number, at) == null
                && sidecars.get(number).terminate();
    }

    /** Kills a sidecar that was shut down, if it still runs; only the newest requests may be unanswered then. */
    void killShutDown(int number, long at) {
        shutDownAt.remove(number);
        killedAt.put(number, at);
        excusedSince.put(number, at - UNANSWERED_AT_KILL_NANOS);
        sidecars.get(number).kill();
    }

    /** Returns whether a sidecar got SIGTERM at a time or before, and has not been killed since. */
    boolean isShutDownSince(int number, long time) {
        return shutDownAt.getOrDefault(number, Long.MAX_VALUE) <= time;
    }

    /** Returns whether a sidecar was stopped by {@link #suspend} at a time or later. */
    boolean wasSuspendedSince(int number, long time) {
        return stallEnds.getOrDefault(number, NEVER) >= time;
    }

    /**
     * Returns whether a sidecar was killed at a time or later, so that it owes no response to a request that was sent
     * then. After a shutdown it owes one to all but the newest requests.
     */
    boolean wasKilledSince(int number, long time) {
        return killedAt.getOrDefault(number, NEVER) >= time && time >= excusedSince.getOrDefault(number, NEVER);
    }

    /** Returns what the sidecars that run hold now. */
    List<ProcessResources> resources() throws IOException {
        List<ProcessResources> all = new ArrayList<>();
        for (long pid : pids()) {
            all.add(ProcessResources.of(pid));
        }
        return all;
    }

    /** Kills all sidecars immediately, for when this process exits. */
    void killAll() {
        sidecars.forEach(SidecarProcess::kill);
    }

    /** Stops all sidecars gracefully, one after the other. */
    void stopAll() throws InterruptedException {
        for (SidecarProcess each : sidecars) {
            each.stop(STOP_GRACE);
        }
    }

    /**
     * Waits until all sidecars are ready.
     *
     * @throws SidecarStartException if one exits or isn't ready within 30 s
     */
    void awaitReady() throws InterruptedException {
        for (SidecarProcess each : sidecars) {
            awaitReady(each);
        }
    }

    private void awaitReady(SidecarProcess sidecar) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
        while (!isReady(sidecar)) {
            if (!sidecar.isAlive() || System.nanoTime() > end) {
                throw new SidecarStartException(workDirectory);
            }
            TimeUnit.MILLISECONDS.sleep(READY_POLL_MILLIS);
        }
    }

    private static boolean isReady(SidecarProcess sidecar) {
        try {
            URI ready = URI.create("http://127.0.0.1:" + sidecar.adminPort() + "/_ready");
            HttpURLConnection connection = (HttpURLConnection) ready.toURL().openConnection();
            connection.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
            connection.setReadTimeout(READ_TIMEOUT_MILLIS);
            return connection.getResponseCode() == HttpURLConnection.HTTP_OK;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Checks that all sidecars are still running.
     *
     * @throws SidecarExitedException if one has exited by itself
     */
    void checkAlive() {
        for (int i = 0; i < sidecars.size(); i++) {
            if (!sidecars.get(i).isAlive()) {
                throw new SidecarExitedException(i, workDirectory.resolve("n" + i + ".log"));
            }
        }
    }
}
