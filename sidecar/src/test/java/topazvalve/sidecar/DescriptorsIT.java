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

/** The packaged sidecar under a real limit on its descriptors, beset by clients that say nothing. */
class DescriptorsIT {
    private static final String UP = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final int SOCKETS = 200;
    private static final int CLIENTS = SOCKETS * 3 / 8;
    private static final int SILENT = 600;
    private static final int ROUNDS = 20;
    /** Discovery's calls, and an operator's. */
    private static final int OTHERS = 6;

    @TempDir
    private Path folder;

    private Process process;
    private final List<SidecarFixture.TestClient> silent = new ArrayList<>();

    @AfterEach
    void end() throws IOException {
        process.destroyForcibly();
        for (SidecarFixture.TestClient each : silent) {
            each.close();
        }
    }

    private static long descriptors(long pid) throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            return all.count();
        }
    }

    private static String text(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    private ObjectNode config(InetSocketAddress listen, InetSocketAddress discovery) throws IOException {
        ObjectNode json =
                SidecarFixture.configJson().put("listen", text(listen)).put("discovery", text(discovery));
        json.withObject("/limits").put("sockets", SOCKETS);
        json.withObject("/settings").put("discovery", "subscribe");
        return json;
    }

    private static String command() throws IOException {
        return "ulimit -n " + SOCKETS + "; " + DeployedIT.command("run");
    }

    private void flood(InetSocketAddress address) throws IOException {
        for (int i = 0; i < SILENT; i++) {
            silent.add(new SidecarFixture.TestClient(address));
        }
    }

    /**
     * Discovery is down, and clients far beyond the limit connect and say nothing: who works keeps its
     * connection, who comes is served, discovery is called as soon as it is back, and nothing runs out.
     */
    @Test
    void silentClientsLeaveDescriptorsToAllOthers() throws Exception {
        InetSocketAddress address = DeployedIT.freeAddress();
        InetSocketAddress discovery = DeployedIT.freeAddress();
        InetSocketAddress door = DeployedIT.freeAddress();
        Path file = Files.writeString(
                folder.resolve("config.json"),
                config(address, discovery).put("admin", text(door)).toString());
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command());
        builder.environment().put("PROXY_CONFIG", file.toString());
        process = builder.start();
        DeployedIT.awaitUp(process, address);
        try (SidecarFixture.TestClient working = new SidecarFixture.TestClient(address)) {
            assertEquals(200, working.send(UP).status());
            long most = descriptors(process.pid()) + CLIENTS + OTHERS;
            flood(address);
            for (int i = 0; i < ROUNDS; i++) {
                assertEquals(200, working.send(UP).status(), "who works keeps its connection");
                try (SidecarFixture.TestClient next = new SidecarFixture.TestClient(address);
                        SidecarFixture.TestClient operator = new SidecarFixture.TestClient(door)) {
                    assertEquals(200, next.send(UP).status());
                    assertEquals(
                            200, operator.send(UP.replace("/up", "/_ready")).status());
                }
                long held = descriptors(process.pid());
                assertTrue(held <= most, held + " descriptors held, not " + most);
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

    /** A flood from before the program listens neither holds its start back nor takes all descriptors. */
    @Test
    void floodFromTheFirstMomentHoldsNoStartBack() throws Exception {
        InetSocketAddress address = DeployedIT.freeAddress();
        Path file = Files.writeString(
                folder.resolve("config.json"),
                config(address, DeployedIT.freeAddress()).toString());
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command());
        builder.environment().put("PROXY_CONFIG", file.toString());
        try (Flood flood = new Flood(address, SILENT)) {
            process = builder.start();
            DeployedIT.awaitUp(process, address);
            flood.awaitConnected();
        }
        process.toHandle().destroy();
        String log = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(log.contains("ready at") && !log.contains("Too many open files"), log);
    }

    /** Two processes take clients from one socket: together they hold no more than one may. */
    @Test
    void silentClientsOfTwoProcessesHoldOneShare() throws Exception {
        process = new ProcessBuilder("perl", "sidecar/src/test/resources/holder.pl").start();
        int port = Integer.parseInt(process.inputReader().readLine());
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        List<ProcessHandle> both = new ArrayList<>();
        try {
            long most = CLIENTS + 2 * OTHERS;
            for (String name : List.of("old.json", "new.json")) {
                InetSocketAddress door = DeployedIT.freeAddress();
                Path file = Files.writeString(
                        folder.resolve(name),
                        config(address, DeployedIT.freeAddress())
                                .put("admin", text(door))
                                .toString());
                process.outputWriter().write(file + "\t" + command() + "\n");
                process.outputWriter().flush();
                both.add(ProcessHandle.of(Long.parseLong(process.inputReader().readLine()))
                        .orElseThrow());
                DeployedIT.awaitReady(door);
                most += descriptors(both.get(both.size() - 1).pid());
            }
            flood(address);
            for (int i = 0; i < ROUNDS; i++) {
                try (SidecarFixture.TestClient next = new SidecarFixture.TestClient(address)) {
                    assertEquals(200, next.send(UP).status());
                }
                long held =
                        descriptors(both.get(0).pid()) + descriptors(both.get(1).pid());
                assertTrue(held <= most, held + " descriptors held, not " + most);
            }
        } finally {
            both.forEach(ProcessHandle::destroy);
        }
        process.outputWriter().close();
        String log = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertFalse(log.contains("Too many open files"), log);
    }
}
