import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The platform of one case: a temporary folder, free loopback ports, sidecar processes that are started with the
 * {@code run} line of the deploy file, and the record of the case. Exit statuses are 0 (the rule held), 1 (it was
 * broken) and 2 (the case could not run).
 */
final class Bed implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    final Path root;
    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final List<String> lines = new ArrayList<>();
    private final List<SidecarProcess> processes = new CopyOnWriteArrayList<>();
    private final Path caseFolder;
    private final long startedAt = System.nanoTime();

    /** Creates the bed of the case in {@code caseFolder}, which is a folder of {@code review/}. */
    Bed(Path caseFolder) throws IOException {
        this.caseFolder = caseFolder.toAbsolutePath().normalize();
        this.root = this.caseFolder.getParent().getParent();
        this.folder = Files.createTempDirectory("review-case");
        record("case " + this.caseFolder.getFileName() + ", disruption " + (trouble ? "on" : "off"));
    }

    /** A case of the review; returns an exit status. */
    interface Case {
        int run(Bed bed) throws Exception;
    }

    /** Runs a case in a bed, writes its record and exits with its status. */
    static void main(String[] args, Case body) {
        int status = COULD_NOT_RUN;
        try (Bed bed = new Bed(Path.of(args[0]))) {
            Runtime.getRuntime().addShutdownHook(new Thread(bed::abandon));
            try {
                status = body.run(bed);
            } catch (Exception e) {
                bed.record("could not run: " + e);
                for (StackTraceElement element : e.getStackTrace()) {
                    bed.record("  at " + element);
                }
            }
            bed.record("verdict: " + (status == HELD ? "held" : status == BROKEN ? "BROKEN" : "could not run"));
        } catch (IOException e) {
            System.err.println(e);
        }
        Runtime.getRuntime().halt(status);
    }

    /** Returns the milliseconds since the case began. */
    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
    }

    /** Adds a line to the record. */
    void record(String line) {
        synchronized (lines) {
            lines.add(String.format("%8d ms  %s", millis(), line));
        }
    }

    /** Returns a loopback port that is free now. */
    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts a sidecar as the platform does, and waits until it answers {@code GET /up} with 200. */
    SidecarProcess startSidecar(Settings settings) throws Exception {
        Path config = folder.resolve("config-" + processes.size() + ".json");
        Files.writeString(config, settings.toJson());
        SidecarProcess sidecar = new SidecarProcess(this, settings, config, processes.size());
        processes.add(sidecar);
        sidecar.awaitReady();
        return sidecar;
    }

    /** One sidecar process. */
    static final class SidecarProcess {
        final Process process;
        final Path config;
        final Path log;
        final int port;
        final int adminPort;
        private final Bed bed;

        private SidecarProcess(Bed bed, Settings settings, Path config, int number) throws IOException {
            this.bed = bed;
            this.config = config;
            this.port = settings.listenPort;
            this.adminPort = settings.adminPort;
            this.log = bed.folder.resolve("sidecar-" + number + ".log");
            Path tmp = Files.createDirectory(bed.folder.resolve("tmp-" + number));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine(bed.root))
                    .directory(bed.root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile());
            Map<String, String> environment = builder.environment();
            environment.put("PROXY_NAME", settings.name);
            environment.put("PROXY_LISTEN", "127.0.0.1:" + port);
            environment.put("PROXY_ADMIN", "127.0.0.1:" + adminPort);
            environment.put("PROXY_DISCOVERY", "127.0.0.1:" + settings.discoveryPort);
            environment.put("PROXY_CONFIG", config.toString());
            environment.put("TMPDIR", tmp.toString());
            process = builder.start();
            bed.record("sidecar started, process " + number);
        }

        private static String runLine(Path root) throws IOException {
            Matcher line = Pattern.compile("(?m)^run = \"(.*)\"$")
                    .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
            if (!line.find()) {
                throw new IOException("no run line in the deploy file");
            }
            return line.group(1);
        }

        private void awaitReady() throws Exception {
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
            while (System.nanoTime() < until) {
                if (!process.isAlive()) {
                    throw new IOException("the sidecar ended at its start: " + Files.readString(log));
                }
                if (isUp()) {
                    bed.record("sidecar ready");
                    return;
                }
                Thread.sleep(100);
            }
            throw new IOException("the sidecar was not ready within 30 s");
        }

        boolean isUp() {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(1000);
                socket.getOutputStream()
                        .write("GET /up HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                byte[] answer = socket.getInputStream().readNBytes(12);
                return new String(answer, StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
            } catch (IOException e) {
                return false;
            }
        }

        /** Sends a signal, such as TERM, KILL, HUP, STOP or CONT. */
        void signal(String name) throws Exception {
            bed.record("SIG" + name + " to the sidecar");
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
        }
    }

    /** Ends all processes and deletes the temporary folder of a case that is itself ended. */
    private void abandon() {
        endProcesses();
        try {
            deleteFolder();
        } catch (IOException e) {
            System.err.println(e);
        }
    }

    private void deleteFolder() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    private void endProcesses() {
        processes.forEach(sidecar -> sidecar.process.destroyForcibly());
    }

    /** Ends all processes, writes the record, and deletes the temporary folder. */
    @Override
    public void close() throws IOException {
        endProcesses();
        for (SidecarProcess sidecar : processes) {
            try {
                sidecar.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            record("log of the sidecar:");
            for (String line : Files.readAllLines(sidecar.log)) {
                lines.add("    " + line.replace(folder.toString(), "TMP"));
            }
        }
        Files.write(caseFolder.resolve("record.txt"), lines);
        deleteFolder();
    }
}
