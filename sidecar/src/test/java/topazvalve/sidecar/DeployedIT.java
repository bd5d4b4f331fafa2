package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Both programs as the deploy file starts them, with the packaged jar. */
class DeployedIT {
    private static final String UP = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

    @TempDir
    private Path folder;

    private Process process;

    @AfterEach
    void end() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    static String command(String key) throws IOException {
        String line = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(each -> each.startsWith(key + " = \""))
                .findFirst()
                .orElseThrow();
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
    }

    private void start(String key, ObjectNode config) throws IOException {
        Path file = write(config.toString());
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command(key));
        builder.environment().put("PROXY_CONFIG", file.toString());
        process = builder.start();
    }

    private Path write(String config) throws IOException {
        return Files.writeString(folder.resolve("config.json"), config);
    }

    /** SIGHUP, to the program itself: the shell that started it has become it. */
    private void hangUp() throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    private int exit() throws InterruptedException {
        assertTrue(process.waitFor(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS), "still running");
        return process.exitValue();
    }

    static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) any.getLocalSocketAddress();
        }
    }

    private void awaitUp(InetSocketAddress address) throws Exception {
        awaitUp(process, address);
    }

    static void awaitUp(Process process, InetSocketAddress address) throws Exception {
        while (true) {
            try (SidecarFixture.TestClient client = new SidecarFixture.TestClient(address)) {
                if (client.send(UP).status() == 200) {
                    return;
                }
            } catch (ConnectException e) {
                assertTrue(process.isAlive(), "ended before it listened");
            }
            Thread.sleep(20);
        }
    }

    @Test
    void simStartsAndEndsWithItsInput() throws Exception {
        start("sim", SidecarFixture.configJson());
        process.getOutputStream().close();
        assertEquals(0, exit());
    }

    /** At SIGTERM what is held is answered, new connections still get in, and the process ends by itself. */
    @Test
    void runServesAndEndsInOrderAtSigterm() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (StubServer upstream = new StubServer((socket, head) -> {
            try {
                return go.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        && StubServer.reply(socket, "200 OK", "", "held");
            } catch (InterruptedException e) {
                return false;
            }
        })) {
            InetSocketAddress address = freeAddress();
            start("run", SidecarFixture.configJson(upstream).put("listen", "127.0.0.1:" + address.getPort()));
            awaitUp(address);
            try (SidecarFixture.TestClient client = new SidecarFixture.TestClient(address);
                    SidecarFixture.TestClient other = new SidecarFixture.TestClient(address)) {
                StubServer.write(client.socket, SidecarFixture.lookRequest("a"));
                StubServer.awaitNext(upstream.receivedHeads);
                assertEquals(200, other.send(UP).status());
                process.destroy();
                // The end has begun once /up says no, or closes, on a connection that was there before.
                int up = 200;
                while (up == 200) {
                    try {
                        up = other.send(UP).status();
                    } catch (IOException e) {
                        up = 0;
                    }
                }
                go.countDown();
                assertEquals("held", client.readResponse().body());
            }
            assertEquals(0, exit());
        }
    }

    private ProcessHandle startOnSharedSocket(String name, ObjectNode config) throws IOException {
        Path file = Files.writeString(folder.resolve(name), config.toString());
        process.outputWriter().write(file + "\t" + command("run") + "\n");
        process.outputWriter().flush();
        return ProcessHandle.of(Long.parseLong(process.inputReader().readLine()))
                .orElseThrow();
    }

    static void awaitYes(InetSocketAddress door) throws Exception {
        String ready = "GET /_ready HTTP/1.1\r\nHost: a\r\n\r\n";
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(StubServer.TIMEOUT_SECONDS);
        while (true) {
            try (SidecarFixture.TestClient client = new SidecarFixture.TestClient(door)) {
                if (client.send(ready).status() == 200) {
                    return;
                }
            } catch (ConnectException e) {
                assertTrue(System.nanoTime() < end, "never listened");
            }
            Thread.sleep(20);
        }
    }

    /**
     * A second start on the platform's socket takes over: the first one answers what it holds and ends at
     * SIGTERM, not one client is turned away, and neither loses its log.
     */
    @Test
    void secondStartOnTheSharedSocketTakesOver() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (StubServer upstream = new StubServer((socket, head) -> {
            try {
                return (!head.contains("Req-Id: held") || go.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS))
                        && StubServer.reply(socket, "200 OK", "", "x");
            } catch (InterruptedException e) {
                return false;
            }
        })) {
            process = new ProcessBuilder("perl", "sidecar/src/test/resources/holder.pl").start();
            int port = Integer.parseInt(process.inputReader().readLine());
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            InetSocketAddress oldDoor = freeAddress();
            InetSocketAddress newDoor = freeAddress();
            ObjectNode json = SidecarFixture.configJson(upstream).put("listen", "127.0.0.1:" + port);
            ProcessHandle old = startOnSharedSocket("old.json", json.put("admin", text(oldDoor)));
            ProcessHandle next = null;
            try (SidecarFixture.TestClient held = new SidecarFixture.TestClient(address)) {
                StubServer.write(held.socket, SidecarFixture.lookRequest("held"));
                awaitYes(oldDoor);
                StubServer.awaitNext(upstream.receivedHeads);
                next = startOnSharedSocket("new.json", json.put("admin", text(newDoor)));
                for (int i = 0; !next.isAlive() || i < 3; i++) {
                    assertEquals(
                            200, bedAsk(address, SidecarFixture.lookRequest("during" + i)), "while the new one starts");
                }
                awaitYes(newDoor);
                old.destroy();
                for (int i = 0; i < 50; i++) {
                    assertEquals(
                            200, bedAsk(address, SidecarFixture.lookRequest("after" + i)), "nobody is turned away");
                }
                go.countDown();
                assertEquals(200, held.readResponse().status());
                old.onExit().get(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                assertEquals(200, bedAsk(address, SidecarFixture.lookRequest("alone")));
                assertTrue(next.isAlive());
            } finally {
                old.destroyForcibly();
                if (next != null) {
                    next.destroy();
                    next.onExit().get(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                }
            }
            process.outputWriter().close();
            String log = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(
                    2, log.lines().filter(line -> line.contains("ready at")).count(), log);
            assertEquals(
                    2,
                    log.lines().filter(line -> line.contains("shutting down")).count(),
                    log);
        }
    }

    @Test
    void descriptorThatIsNoListenerEndsWithOneLine() throws Exception {
        Path file = write(SidecarFixture.configJson().toString());
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command("run"));
        builder.environment().put("PROXY_CONFIG", file.toString());
        builder.environment().put("PROXY_FD", "0");
        process = builder.start();
        String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(2, exit());
        assertTrue(err.contains("PROXY_FD") && err.lines().count() == 1, err);
    }

    private static String text(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    private static int bedAsk(InetSocketAddress address, String request) throws IOException {
        try (SidecarFixture.TestClient client = new SidecarFixture.TestClient(address)) {
            return client.send(request).status();
        }
    }

    /** The JVM's own way with SIGHUP is to end: here each one brings the file's new discovery, under way. */
    @Test
    void sighupTakesTheNewDiscoveryAndABadFileChangesNothing() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x");
                StubServer first = new StubServer((socket, head) -> true);
                StubServer second = new StubServer((socket, head) -> true);
                StubServer third = new StubServer((socket, head) -> true)) {
            InetSocketAddress address = freeAddress();
            ObjectNode json = SidecarFixture.configJson(upstream)
                    .put("listen", "127.0.0.1:" + address.getPort())
                    .put("discovery", first.endpoint());
            json.withObject("/settings").put("discovery", "subscribe");
            start("run", json);
            awaitUp(address);
            StubServer.awaitNext(first.receivedHeads);
            write(json.put("discovery", second.endpoint()).toString());
            hangUp();
            assertTrue(StubServer.awaitNext(second.receivedHeads).contains("watch=1"));
            StubServer.awaitNext(first.closedConnections);
            write("{\"listen\":");
            hangUp();
            BufferedReader log = process.errorReader();
            String line = log.readLine();
            while (!line.contains("configuration reload rejected")) {
                line = log.readLine();
            }
            write(json.put("discovery", third.endpoint()).toString());
            hangUp();
            assertTrue(StubServer.awaitNext(third.receivedHeads).contains("watch=1"));
            try (SidecarFixture.TestClient client = new SidecarFixture.TestClient(address)) {
                assertEquals(200, client.send(SidecarFixture.lookRequest("a")).status());
            }
            assertEquals(0, second.receivedHeads.size(), "a bad file starts nothing anew");
        }
    }

    @Test
    void badConfigurationEndsWithOneLineNamingTheKey() throws Exception {
        ObjectNode json = SidecarFixture.configJson();
        json.withObject("/settings/rules").remove("rampTime");
        start("run", json);
        String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(2, exit());
        assertTrue(err.contains("rules.rampTime") && err.lines().count() == 1, err);
    }
}
