package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Listeners of the operator's file, in the packaged program as the deploy file starts it. */
@Timeout(120)
class StreamsIT {
    @TempDir
    private Path folder;

    private final List<Process> started = new ArrayList<>();

    @AfterEach
    void end() {
        started.forEach(Process::destroyForcibly);
    }

    /** Says its letter to each who connects, then gives back what comes. */
    private static ServerSocket server(char letter) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        StubServer.startDaemonThread(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    StubServer.write(socket, String.valueOf(letter));
                    StubServer.startDaemonThread(() -> {
                        try (socket) {
                            socket.getInputStream().transferTo(socket.getOutputStream());
                        } catch (IOException e) {
                            Thread.currentThread().interrupt();
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
        return server;
    }

    private static String at(ServerSocket server) {
        return "\"127.0.0.1:" + server.getLocalPort() + "\"";
    }

    private Path operator(InetSocketAddress listen, String servers, String draining) throws IOException {
        return Files.writeString(folder.resolve("operator.toml"), """
                [[listener]]
                name = "it"
                protocol = "tcp"
                listen = "127.0.0.1:%d"
                servers = [%s]
                draining = [%s]
                grace = "1500ms"
                """.formatted(listen.getPort(), servers, draining));
    }

    private Process start(String name, InetSocketAddress address, InetSocketAddress door, Path operator)
            throws IOException {
        Path file = Files.writeString(
                folder.resolve(name),
                SidecarFixture.configJson()
                        .put("listen", "127.0.0.1:" + address.getPort())
                        .put("admin", "127.0.0.1:" + door.getPort())
                        .toString());
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", DeployedIT.command("run"));
        builder.environment().put("PROXY_CONFIG", file.toString());
        builder.environment().put("JDK_JAVA_OPTIONS", "-Dtopazvalve.operator=" + operator);
        Process process = builder.start();
        started.add(process);
        return process;
    }

    private static Socket connect(InetSocketAddress listener) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(StubServer.TIMEOUT_SECONDS);
        while (true) {
            try {
                Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), listener.getPort());
                socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(StubServer.TIMEOUT_SECONDS));
                return socket;
            } catch (IOException e) {
                assertTrue(System.nanoTime() < until, "no listener");
                Thread.sleep(20);
            }
        }
    }

    private static char letter(Socket socket) throws IOException {
        return (char) socket.getInputStream().read();
    }

    private static void awaitLine(Process process, String words) throws IOException {
        BufferedReader log = process.errorReader();
        String line = log.readLine();
        while (line != null && !line.contains(words)) {
            line = log.readLine();
        }
        assertTrue(line != null, "never said: " + words);
    }

    @Test
    void streamsPassAreCountedAndFollowTheFileAtSighup() throws Exception {
        InetSocketAddress address = DeployedIT.freeAddress();
        InetSocketAddress door = DeployedIT.freeAddress();
        InetSocketAddress listener = DeployedIT.freeAddress();
        try (ServerSocket one = server('a');
                ServerSocket two = server('b')) {
            String both = at(one) + ", " + at(two);
            Process process = start("c.json", address, door, operator(listener, both, ""));
            DeployedIT.awaitUp(process, address);
            try (Socket socket = connect(listener)) {
                assertTrue("ab".indexOf(letter(socket)) >= 0);
                StubServer.write(socket, "echo");
                assertEquals("echo", new String(socket.getInputStream().readNBytes(4), StandardCharsets.US_ASCII));
                try (SidecarFixture.TestClient client = new SidecarFixture.TestClient(door)) {
                    String figures = client.send("GET /_vars HTTP/1.1\r\nHost: a\r\n\r\n")
                            .body();
                    assertTrue(
                            figures.contains("app.tcp.it.open=1\n")
                                    && figures.contains("app.tcp.it.bytes_to_servers=4\n"),
                            figures);
                }
            }
            operator(listener, both, at(one));
            hangUp(process);
            awaitLine(process, "configuration reloaded");
            for (int i = 0; i < 8; i++) {
                try (Socket socket = connect(listener)) {
                    assertEquals('b', letter(socket), "the other one drains");
                }
            }
            operator(listener, "", "");
            hangUp(process);
            awaitLine(process, "configuration reload rejected");
            try (Socket socket = connect(listener)) {
                assertEquals('b', letter(socket), "what was in force stays");
            }
        }
    }

    private static void hangUp(Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    /** The old one's streams run on for their grace and end in order; new ones find the new one. */
    @Test
    void secondProcessTakesTheListenerOver() throws Exception {
        InetSocketAddress listener = DeployedIT.freeAddress();
        InetSocketAddress address = DeployedIT.freeAddress();
        InetSocketAddress next = DeployedIT.freeAddress();
        try (ServerSocket server = server('a')) {
            Path operator = operator(listener, at(server), "");
            Process old = start("old.json", address, DeployedIT.freeAddress(), operator);
            DeployedIT.awaitUp(old, address);
            try (Socket open = connect(listener)) {
                assertEquals('a', letter(open));
                Process young = start("new.json", next, DeployedIT.freeAddress(), operator);
                awaitLine(young, "streams at");
                old.destroy();
                StubServer.write(open, "x");
                assertEquals('x', letter(open), "runs on");
                assertEquals(-1, open.getInputStream().read(), "until its grace is over");
            }
            assertTrue(old.waitFor(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertEquals(0, old.exitValue());
            for (int i = 0; i < 8; i++) {
                try (Socket socket = connect(listener)) {
                    assertEquals('a', letter(socket));
                }
            }
        }
    }

    @Test
    void badFileEndsTheStartWithItsLinesAndStatusTwo() throws Exception {
        InetSocketAddress any = DeployedIT.freeAddress();
        Process process = start("c.json", any, any, operator(any, "\"nowhere\"", "\"127.0.0.1:1\""));
        String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
        assertTrue(
                err.contains("operator.toml:5: listener.0.servers")
                        && err.contains("operator.toml:6: listener.0.draining")
                        && !err.contains("\tat "),
                err);
    }
}
