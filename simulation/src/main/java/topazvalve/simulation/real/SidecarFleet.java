package topazvalve.simulation.real;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.scenario.Scenario;

/** The sidecar processes of a run in real time. */
final class SidecarFleet {
    private static final long START_TIMEOUT_SECONDS = 30;
    private static final long READY_POLL_MILLIS = 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int READ_TIMEOUT_MILLIS = 1000;
    private static final long STOP_TIMEOUT_MILLIS = 5_000;

    private final Scenario scenario;
    private final Path folder;
    private final List<SidecarProcess> sidecars = new ArrayList<>();
    private final List<Integer> discoveryPorts = new ArrayList<>();

    SidecarFleet(Scenario scenario, Path folder) {
        this.scenario = scenario;
        this.folder = folder;
    }

    /**
     * Adds a sidecar that isn't started yet.
     *
     * @param home the root of the repository
     */
    void add(Path home, int discoveryPort) throws IOException {
        sidecars.add(new SidecarProcess(home, folder, sidecars.size()));
        discoveryPorts.add(discoveryPort);
    }

    /**
     * Starts a sidecar, without waiting until it is ready.
     *
     * @param cachedList the endpoint list that it starts with
     * @param seed the seed of its load balancer
     */
    void start(int number, ObjectNode cachedList, long seed) throws IOException {
        sidecars.get(number).start(scenario, discoveryPorts.get(number), cachedList, seed);
    }

    /** Returns the port of a sidecar's clients. */
    int port(int number) {
        return sidecars.get(number).port();
    }

    void kill(int number) {
        sidecars.get(number).kill();
    }

    /** Kills all sidecars at once, when this process ends. */
    void killAll() {
        sidecars.forEach(SidecarProcess::kill);
    }

    /** Stops all sidecars in order. */
    void stopAll() throws InterruptedException {
        for (SidecarProcess each : sidecars) {
            each.stop(STOP_TIMEOUT_MILLIS);
        }
    }

    /**
     * Waits until all sidecars are ready.
     *
     * @throws IOException if one ends or isn't ready within 30 s
     */
    void awaitReady() throws IOException, InterruptedException {
        for (SidecarProcess each : sidecars) {
            awaitReady(each);
        }
    }

    private void awaitReady(SidecarProcess sidecar) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
        while (!isReady(sidecar)) {
            if (!sidecar.isAlive() || System.nanoTime() > end) {
                throw new IOException("a sidecar did not start; its log is in " + folder);
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
     * @throws IOException if one has ended by itself
     */
    void checkAlive() throws IOException {
        for (int i = 0; i < sidecars.size(); i++) {
            if (!sidecars.get(i).isAlive()) {
                throw new IOException(
                        "sidecar " + i + " has ended by itself; its log is " + folder.resolve("n" + i + ".log"));
            }
        }
    }
}
