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

/** The packaged sidecar under a real limit on its descriptors, flooded by silent clients. */
class DescriptorsIT {
    private static final String READINESS_CHECK = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final int DESCRIPTOR_LIMIT = 200;
    private static final int CLIENT_SHARE = DESCRIPTOR_LIMIT * 3 / 8;
    private static final int SILENT_CLIENTS = 600;
    private static final int ROUNDS = 20;
    /** For calls to discovery and of an operator. */
    private static final int OTHER_DESCRIPTORS = 6;

    @TempDir
    private Path folder;

    private Process process;
    private final List<TestClient> silent = new ArrayList<>();

    @AfterEach
    void stopProcess() throws IOException {
        process.destroyForcibly();
        for (TestClient client : silent) {
            client.close();
        }
    }

    private static long descriptors(long pid) throws IOException {
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
     * connection, a new one is served, discovery is called once it is back, and no accept fails.
     */
    @Test
    void silentClientsLeaveDescriptorsForAllOthers() throws Exception {
        InetSocketAddress address = DeployedIT.freeAddress();
        InetSocketAddress discovery = DeployedIT.freeAddress();
        InetSocketAddress admin = DeployedIT.freeAddress();
        Path file = Files.writeString(
                folder.resolve("config.json"),
                config(address, discovery).put("admin", hostAndPort(admin)).toString());
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command());
        builder.environment().put("PROXY_CONFIG", file.toString());
        process = builder.start();
        DeployedIT.awaitUp(process, address);
        try (TestClient active = new TestClient(address)) {
            assertEquals(200, active.send(READINESS_CHECK).status());
            long maxDescriptors = descriptors(process.pid()) + CLIENT_SHARE + OTHER_DESCRIPTORS;
            flood(address);
            for (int i = 0; i < ROUNDS; i++) {
                assertEquals(200, active.send(READINESS_CHECK).status(), "an active client keeps its connection");
                try (TestClient next = new TestClient(address);
                        TestClient operator = new TestClient(admin)) {
                    assertEquals(200, next.send(READINESS_CHECK).status());
                    assertEquals(
                            200,
                            operator.send(READINESS_CHECK.replace("/up", "/_ready"))
                                    .status());
                }
                long openDescriptors = descriptors(process.pid());
                assertTrue(
                        openDescriptors <= maxDescriptors,
                        openDescriptors + " descriptors held, not " + maxDescriptors);
            }
        }
        try (ServerSocket back = new ServerSocket(discovery.getPort(), 1, InetAddress.getLoopbackAddress())) {
            back.setSoTimeout((int) TimeUnit.SECONDS.toMillis(StubServer.TIMEOUT_SECONDS));
            back.accept().close();
        }
        process.toHandle().destroy();
        String log = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertFalse(log.contains("Too many open files"), log);
    }

    /** The flood begins before the process listens. */
    @Test
    void floodDuringTheStartDelaysNothing() throws Exception {
        InetSocketAddress address = DeployedIT.freeAddress();
        Path file = Files.writeString(
                folder.resolve("config.json"),
                config(address, DeployedIT.freeAddress()).toString());
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command());
        builder.environment().put("PROXY_CONFIG", file.toString());
        try (Flood flood = new Flood(address, SILENT_CLIENTS)) {
            process = builder.start();
            DeployedIT.awaitUp(process, address);
            flood.awaitConnected();
        }
        process.toHandle().destroy();
        String log = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(log.contains("ready at") && !log.contains("Too many open files"), log);
    }

    /** Two processes accept from one socket; together they hold no more than one of them may. */
    @Test
    void silentClientsOfTwoProcessesStayWithinOneShare() throws Exception {
        process = new ProcessBuilder("perl", "sidecar/src/test/resources/holder.pl").start();
        int port = Integer.parseInt(process.inputReader().readLine());
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        List<ProcessHandle> processes = new ArrayList<>();
        try {
            long maxDescriptors = CLIENT_SHARE + 2 * OTHER_DESCRIPTORS;
            for (String name : List.of("old.json", "new.json")) {
                InetSocketAddress admin = DeployedIT.freeAddress();
                Path file = Files.writeString(
                        folder.resolve(name),
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
                        descriptors(processes.get(processes.size() - 1).pid());
            }
            flood(address);
            for (int i = 0; i < ROUNDS; i++) {
                try (TestClient next = new TestClient(address)) {
                    assertEquals(200, next.send(READINESS_CHECK).status());
                }
                long openDescriptors = descriptors(processes.get(0).pid())
                        + descriptors(processes.get(1).pid());
                assertTrue(
                        openDescriptors <= maxDescriptors,
                        openDescriptors + " descriptors held, not " + maxDescriptors);
            }
        } finally {
            processes.forEach(ProcessHandle::destroy);
        }
        process.outputWriter().close();
        String log = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertFalse(log.contains("Too many open files"), log);
    }
}
