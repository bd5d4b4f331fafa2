package topazvalve.capacity.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import topazvalve.simulation.process.RunLine;

/** The packaged sidecar, started by the deploy file's {@code run} line, looked at by its operators' door. */
final class MeasuredSidecar implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern POOL = Pattern.compile("app\\.pool_size=([0-9]+)");
    private static final int TIMEOUT_MS = 2_000;

    private final Process process;
    private final int port;
    private final int adminPort;
    private final long startedAt = System.nanoTime();
    private final Path log;

    private MeasuredSidecar(Process process, int port, int adminPort, Path log) {
        this.process = process;
        this.port = port;
        this.adminPort = adminPort;
        this.log = log;
    }

    /** One that follows the source at this port; {@code before} are words such as those that pin it. */
    static MeasuredSidecar following(Path home, Path folder, int sourcePort, List<String> before) throws IOException {
        return start(home, folder, config(sourcePort, "subscribe"), before);
    }

    /** One with these servers known from the start, and no source. */
    static MeasuredSidecar knowing(Path home, Path folder, ObjectNode known, List<String> before) throws IOException {
        ObjectNode config = config(1, "automatic");
        config.set("known", known);
        return start(home, folder, config, before);
    }

    private static MeasuredSidecar start(Path home, Path folder, ObjectNode config, List<String> before)
            throws IOException {
        int port = RunLine.freePort();
        int adminPort = RunLine.freePort();
        Path file = folder.resolve("capacity-" + port + ".json");
        Path log = folder.resolve("capacity-" + port + ".log");
        Files.writeString(
                file,
                config.put("listen", "127.0.0.1:" + port)
                        .put("admin", "127.0.0.1:" + adminPort)
                        .toString());
        File out = log.toFile();
        return new MeasuredSidecar(
                RunLine.of(home, file, before).redirectOutput(out).start(), port, adminPort, log);
    }

    private static ObjectNode config(int sourcePort, String discovery) {
        ObjectNode root =
                JSON.createObjectNode().put("name", "c0").put("seed", "7").put("discovery", "127.0.0.1:" + sourcePort);
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 96).put("sockets", 1024);
        ObjectNode settings =
                root.putObject("settings").put("discovery", discovery).put("quantum", 0);
        settings.putArray("zones").add("a");
        settings.putArray("kinds").add("m");
        settings.putObject("report").put("how", "silent").putArray("fields");
        settings.putObject("caps")
                .put("mayCancel", true)
                .put("tryLimit", 3)
                .put("connectTimeout", 500_000_000L)
                .put("connIdle", 10_000_000_000L)
                .put("retryAfter", true)
                .put("maxRetryAfter", 1_000_000_000L);
        settings.putObject("rules")
                .put("answerSlack", 20_000_000)
                .put("stopSendingWithin", 500_000_000)
                .put("coldShare", 0.4)
                .put("rampTime", 7_000_000_000L)
                .put("overloadFactor", 4.0)
                .put("tipAfter", 1_500_000_000)
                .put("askWithin", 10_000_000_000L);
        settings.putArray("profiles")
                .addObject()
                .put("name", "look-up")
                .put("slo", 1_000_000_000)
                .put("deadline", 5_000_000_000L)
                .put("semantics", "repeatable");
        return root;
    }

    ProcessHandle handle() {
        return process.toHandle();
    }

    long pid() {
        return process.pid();
    }

    int port() {
        return port;
    }

    /** Since it was started, in nanoseconds. */
    long age() {
        return System.nanoTime() - startedAt;
    }

    /** Servers in the list in force; -1 if the door does not answer. */
    int listed() {
        Matcher found = POOL.matcher(ask("/_vars"));
        return found.find() ? Integer.parseInt(found.group(1)) : -1;
    }

    private String ask(String path) {
        try (Socket call = new Socket(InetAddress.getLoopbackAddress(), adminPort)) {
            call.setSoTimeout(TIMEOUT_MS);
            call.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nhost: a\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            return new String(call.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "";
        }
    }

    /** Waits until so many servers are listed; returns when, by the monotonic clock. */
    long awaitListed(int servers, long limitMs, long pauseMs) throws IOException, InterruptedException {
        long end = System.nanoTime() + limitMs * 1_000_000;
        while (System.nanoTime() < end && process.isAlive()) {
            if (listed() == servers) {
                return System.nanoTime();
            }
            Thread.sleep(pauseMs);
        }
        throw new IOException("the sidecar has not taken a list of " + servers + " in " + limitMs + " ms: "
                + (process.isAlive() ? listed() + " listed" : "it has ended, " + lastLine()));
    }

    private String lastLine() throws IOException {
        List<String> lines = Files.readAllLines(log);
        return lines.isEmpty() ? "without a word" : lines.get(lines.size() - 1);
    }

    /** Waits until it takes clients. */
    void awaitReady(long limitMs) throws IOException, InterruptedException {
        long end = System.nanoTime() + limitMs * 1_000_000;
        while (!ask("/_ready").startsWith("HTTP/1.1 200")) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IOException("the sidecar is not ready after " + limitMs + " ms");
            }
            Thread.sleep(5);
        }
    }

    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(8, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
