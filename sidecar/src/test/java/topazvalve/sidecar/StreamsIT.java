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

/** TCP listeners of the operator file, in the packaged program as the deploy file starts it. */
@Timeout(120)
class StreamsIT {
    @TempDir
    private Path directory;

    private final List<Process> started = new ArrayList<>();

    @AfterEach
    void killProcesses() {
        started.forEach(Process::destroyForcibly);
    }

    /** Starts a server that sends a letter on each connection, to identify itself, and echoes what it receives. */
    private static ServerSocket startLetterServer(char letter) throws IOException {
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

    private static String quotedAddress(ServerSocket server) {
        return "\"127.0.0.1:" + server.getLocalPort() + "\"";
    }

    private Path writeOperatorFile(InetSocketAddress listen, String servers, String draining) throws IOException {
        return Files.writeString(
                directory.resolve("operator.toml"), """
                [[listener]]
                name = "it"
                protocol = "tcp"
                listen = "127.0.0.1:%d"
                servers = [%s]
                draining = [%s]
                grace = "1500ms"
                """.formatted(listen.getPort(), servers, draining));
    }

    private Process start(String name, InetSocketAddress address, InetSocketAddress admin, Path operator)
            throws IOException {
        Path file = Files.writeString(
                directory.resolve(name),
                SidecarFixture.configJson()
                        .put("listen", "127.0.0.1:" + address.getPort())
                        .put("admin", "127.0.0.1:" + admin.getPort())
                        .toString());
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", DeployedIT.command("run"));
        builder.environment().put("PROXY_CONFIG", file.toString());
        builder.environment().put("JDK_JAVA_OPTIONS", "-Dtopazvalve.operator=" + operator);
        Process process = builder.start();
        started.add(process);
        return process;
    }

    private static Socket connect(InetSocketAddress listener) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(StubServer.TIMEOUT_SECONDS);
        while (true) {
            try {
                Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), listener.getPort());
                socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(StubServer.TIMEOUT_SECONDS));
                return socket;
            } catch (IOException e) {
                assertTrue(System.nanoTime() < end, "listener does not accept connections");
                Thread.sleep(20);
            }
        }
    }

    private static char readLetter(Socket socket) throws IOException {
        return (char) socket.getInputStream().read();
    }

    private static void awaitLogLine(Process process, String text) throws IOException {
        BufferedReader log = process.errorReader();
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            line = log.readLine();
        }
        assertTrue(line != null, "not logged: " + text);
    }

    @Test
    void streamsAreForwardedCountedAndReconfiguredAtSighup() throws Exception {
        InetSocketAddress address = DeployedIT.freeAddress();
        InetSocketAddress admin = DeployedIT.freeAddress();
        InetSocketAddress listener = DeployedIT.freeAddress();
        try (ServerSocket one = startLetterServer('a');
                ServerSocket two = startLetterServer('b')) {
            String both = quotedAddress(one) + ", " + quotedAddress(two);
            Process process = start("c.json", address, admin, writeOperatorFile(listener, both, ""));
            DeployedIT.awaitUp(process, address);
            try (Socket socket = connect(listener)) {
                assertTrue("ab".indexOf(readLetter(socket)) >= 0);
                StubServer.write(socket, "echo");
                assertEquals("echo", new String(socket.getInputStream().readNBytes(4), StandardCharsets.US_ASCII));
                try (SidecarFixture.TestClient client = new SidecarFixture.TestClient(admin)) {
                    String metrics = client.send("GET /_vars HTTP/1.1\r\nHost: a\r\n\r\n")
                            .body();
                    assertTrue(
                            metrics.contains("app.tcp.it.open=1\n")
                                    && metrics.contains("app.tcp.it.bytes_to_servers=4\n"),
                            metrics);
                }
            }
            writeOperatorFile(listener, both, quotedAddress(one));
            DeployedIT.sendSighup(process);
            awaitLogLine(process, "configuration reloaded");
            for (int i = 0; i < 8; i++) {
                try (Socket socket = connect(listener)) {
                    assertEquals('b', readLetter(socket), "the draining server gets no new streams");
                }
            }
            writeOperatorFile(listener, "", "");
            DeployedIT.sendSighup(process);
            awaitLogLine(process, "configuration reload rejected");
            try (Socket socket = connect(listener)) {
                assertEquals('b', readLetter(socket), "the settings in force are kept");
            }
        }
    }

    /** Streams of the old process stay open for their grace period; new ones are accepted by the new process. */
    @Test
    void secondProcessTakesOverTheListener() throws Exception {
        InetSocketAddress listener = DeployedIT.freeAddress();
        InetSocketAddress address = DeployedIT.freeAddress();
        InetSocketAddress next = DeployedIT.freeAddress();
        try (ServerSocket server = startLetterServer('a')) {
            Path operator = writeOperatorFile(listener, quotedAddress(server), "");
            Process old = start("old.json", address, DeployedIT.freeAddress(), operator);
            DeployedIT.awaitUp(old, address);
            try (Socket open = connect(listener)) {
                assertEquals('a', readLetter(open));
                Process replacement = start("new.json", next, DeployedIT.freeAddress(), operator);
                awaitLogLine(replacement, "streams at");
                old.destroy();
                StubServer.write(open, "x");
                assertEquals('x', readLetter(open), "still open");
                assertEquals(-1, open.getInputStream().read(), "closed after its grace period");
            }
            assertTrue(old.waitFor(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertEquals(0, old.exitValue());
            for (int i = 0; i < 8; i++) {
                try (Socket socket = connect(listener)) {
                    assertEquals('a', readLetter(socket));
                }
            }
        }
    }

    @Test
    void invalidOperatorFileIsReportedByLineAndExitsWithStatusTwo() throws Exception {
        InetSocketAddress unusedAddress = DeployedIT.freeAddress();
        Process process = start(
                "c.json",
                unusedAddress,
                unusedAddress,
                writeOperatorFile(unusedAddress, "\"nowhere\"", "\"127.0.0.1:1\""));
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
