package topazvalve.review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One sidecar, started by the {@code run} line of {@code deploy/balancer.toml} as the platform starts it. */
final class SidecarProcess {
    private static final long READY_TIMEOUT_MILLIS = 30_000;

    private final Process process;
    final InetSocketAddress listen;

    private SidecarProcess(Process process, InetSocketAddress listen) {
        this.process = process;
        this.listen = listen;
    }

    /** Returns a loopback address with a port that was free a moment ago. */
    static InetSocketAddress freeAddress() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        try (ServerSocket socket = new ServerSocket(0, 1, loopback)) {
            return new InetSocketAddress(loopback, socket.getLocalPort());
        }
    }

    /**
     * Starts a sidecar.
     *
     * @param root the root of the project
     * @param work a temporary folder for its files
     * @param template the configuration, with LISTEN, ADMIN, DISCOVERY and KNOWN to be replaced
     */
    static SidecarProcess start(Path root, Path work, String template, InetSocketAddress discovery, String known)
            throws Exception {
        InetSocketAddress listen = freeAddress();
        InetSocketAddress admin = freeAddress();
        Path config = work.resolve("config.json");
        String text = template.replace("LISTEN", hostPort(listen))
                .replace("ADMIN", hostPort(admin))
                .replace("DISCOVERY", hostPort(discovery))
                .replace("KNOWN", known);
        Files.writeString(config, text);
        Path tmp = Files.createDirectory(work.resolve("tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine(root));
        builder.directory(root.toFile());
        builder.environment()
                .putAll(Map.of(
                        "PROXY_NAME", "n1",
                        "PROXY_LISTEN", hostPort(listen),
                        "PROXY_ADMIN", hostPort(admin),
                        "PROXY_DISCOVERY", hostPort(discovery),
                        "PROXY_CONFIG", config.toString(),
                        "TMPDIR", tmp.toString()));
        File log = work.resolve("sidecar.log").toFile();
        builder.redirectErrorStream(true).redirectOutput(log);
        SidecarProcess sidecar = new SidecarProcess(builder.start(), listen);
        Runtime.getRuntime().addShutdownHook(new Thread(sidecar.process::destroyForcibly));
        sidecar.awaitReady();
        return sidecar;
    }

    private static String runLine(Path root) throws IOException {
        List<String> lines = Files.readAllLines(root.resolve("deploy/balancer.toml"));
        for (String line : lines) {
            Matcher matcher = Pattern.compile("run = \"(.*)\"").matcher(line);
            if (matcher.matches()) {
                return matcher.group(1);
            }
        }
        throw new IOException("deploy/balancer.toml has no run line");
    }

    private void awaitReady() throws Exception {
        long giveUpAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS);
        while (System.nanoTime() < giveUpAt) {
            if (!process.isAlive()) {
                throw new IOException("the sidecar ended with " + process.exitValue());
            }
            if (answersUp()) {
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException("the sidecar did not become ready");
    }

    private boolean answersUp() {
        try (Socket socket = new Socket()) {
            socket.connect(listen, 1000);
            socket.setSoTimeout(1000);
            String request = "GET /up HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new HttpReader(socket.getInputStream()).readResponse().status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends a signal by its name, such as STOP or CONT. */
    void signal(String name) throws Exception {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    /** Sends SIGTERM; the shell has replaced itself by the program. */
    void terminate() {
        process.destroy();
    }

    /** Sends SIGKILL and waits for the end. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    static String hostPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
