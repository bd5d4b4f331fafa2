package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import topazvalve.sidecar.SidecarFixture.TestClient;

/** The packaged sidecar under the operating system's limit on file descriptors, flooded by silent clients. */
class DescriptorsIT {
    private static final String UP_REQUEST = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final int DESCRIPTOR_LIMIT = 200;
    /** The part of the descriptors that client connections may use. */
    private static final int MAX_CLIENT_DESCRIPTORS = DESCRIPTOR_LIMIT * 3 / 8;

    private static final int SILENT_CLIENTS = 600;
    private static final int CHECK_ROUNDS = 20;
    /** Descriptors for connections to discovery and from an operator. */
    private static final int NON_CLIENT_DESCRIPTORS = 6;

    @TempDir
    private Path directory;

    private Process process;
    private final List<TestClient> silent = new ArrayList<>();

    @AfterEach
    void stopProcess() throws IOException {
        process.destroyForcibly();
        for (TestClient client : silent) {
            client.close();
        }
    }

    private static long openDescriptorCount(long pid) throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            return all.count();
        }
    }

    private static String hostAndPort(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    private ObjectNode config(InetSocketAddress listen, InetSocketAddress discovery) throws IOException {
        ObjectNode json =
                SidecarFixture.configJson().put("listen", hostAndPort(listen)).put("discovery", hostAndPort(discovery));
        json.withObject("/limits").put("sockets", DESCRIPTOR_LIMIT);
        json.withObject("/settings").put("discovery", "subscribe");
        return json;
    }

    private static String command() throws IOException {
        return "ulimit -n " + DESCRIPTOR_LIMIT + "; " + DeployedIT.command("run");
    }

    private void flood(InetSocketAddress address) throws IOException {
        for (int i = 0; i < SILENT_CLIENTS; i++) {
            silent.add(new TestClient(address));
        }
    }

    /**
     * Discovery is down, and far more silent clients connect than the limit allows: an active client keeps its
     * connection, a new one is served, the sidecar connects to discovery once that is back, and no accept fails.
     */
    @Test
    void silentClientsLeaveDescriptorsForAllOthers() throws Exception {
        InetSocketAddress address = DeployedIT.freeAddress();
        InetSocketAddress discovery = DeployedIT.freeAddress();
        InetSocketAddress admin = DeployedIT.freeAddress();
        Path file = Files.writeString(
                directory.resolve("config.json"),
                config(address, discovery).put("admin", hostAndPort(admin)).toString());
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command());
        builder.environment().put("PROXY_CONFIG", file.toString());
        process = builder.start();
        DeployedIT.awaitUp(process, address);
        try (TestClient active = new TestClient(address)) {
            assertEquals(200, active.send(UP_REQUEST).status());
            long maxDescriptors = openDescriptorCount(process.pid()) + MAX_CLIENT_DESCRIPTORS + NON_CLIENT_DESCRIPTORS;
            flood(address);
            for (int i = 0; i < CHECK_ROUNDS; i++) {
                assertEquals(200, active.send(UP_REQUEST).status(), "an active client keeps its connection");
                try (TestClient next = new TestClient(address);
                        TestClient operator = new TestClient(admin)) {
                    assertEquals(200, next.send(UP_REQUEST).status());
                    assertEquals(
                            200,
                            operator.send(UP_REQUEST.replace("/up", "/_ready")).status());
                }
                long openDescriptors = openDescriptorCount(process.pid());
                assertTrue(
                        openDescriptors <= maxDescriptors,
                        openDescriptors + " descriptors open, expected at most " + maxDescriptors);
            }
        }
        try (ServerSocket restarted = new ServerSocket(discovery.getPort(), 1, InetAddress.getLoopbackAddress())) {
            restarted.setSoTimeout((int) TimeUnit.SECONDS.toMillis(StubServer.TIMEOUT_SECONDS));
            restarted.accept().close();
        }
        process.toHandle().destroy();
        String log = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertFalse(log.contains("Too many open files"), log);
    }

    /** The clients begin to connect before the process listens. */
    @Test
    void floodDuringTheStartDoesNotDelayReadiness() throws Exception {
        InetSocketAddress address = DeployedIT.freeAddress();
        Path file = Files.writeString(
                directory.resolve("config.json"),
                config(address, DeployedIT.freeAddress()).toString());
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command());
        builder.environment().put("PROXY_CONFIG", file.toString());
        try (ConnectionFlood flood = new ConnectionFlood(address, SILENT_CLIENTS)) {
            process = builder.start();
            DeployedIT.awaitUp(process, address);
            flood.awaitConnected();
        }
        process.toHandle().destroy();
        String log = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(log.contains("ready at") && !log.contains("Too many open files"), log);
    }

    /** Two processes accept from one socket; together their clients use no more descriptors than one process allows. */
    @Test
    void silentClientsOfTwoProcessesStayWithinOneShare() throws Exception {
        process = new ProcessBuilder("perl", "sidecar/src/test/resources/socket_holder.pl").start();
        int port = Integer.parseInt(process.inputReader().readLine());
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        List<ProcessHandle> processes = new ArrayList<>();
        try {
            long maxDescriptors = MAX_CLIENT_DESCRIPTORS + 2 * NON_CLIENT_DESCRIPTORS;
            for (String name : List.of("old.json", "new.json")) {
                InetSocketAddress admin = DeployedIT.freeAddress();
                Path file = Files.writeString(
                        directory.resolve(name),
                        config(address, DeployedIT.freeAddress())
                                .put("admin", hostAndPort(admin))
                                .toString());
                process.outputWriter().write(file + "\t" + command() + "\n");
                process.outputWriter().flush();
                processes.add(
                        ProcessHandle.of(Long.parseLong(process.inputReader().readLine()))
                                .orElseThrow());
                DeployedIT.awaitReady(admin);
                maxDescriptors +=
                        openDescriptorCount(processes.get(processes.size() - 1).pid());
            }
            flood(address);
            for (int i = 0; i < CHECK_ROUNDS; i++) {
                try (TestClient next = new TestClient(address)) {
                    assertEquals(200, next.send(UP_REQUEST).status());
                }
                long openDescriptors = openDescriptorCount(processes.get(0).pid())
                        + openDescriptorCount(processes.get(1).pid());
                assertTrue(
                        openDescriptors <= maxDescriptors,
                        openDescriptors + " descriptors open, expected at most " + maxDescriptors);
            }
        } finally {
            processes.forEach(ProcessHandle::destroy);
        }
        process.outputWriter().close();
        String log = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertFalse(log.contains("Too many open files"), log);
    }
}
