package topazvalve.hollowfleet.run;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import topazvalve.relay.Main;
import topazvalve.relay.RelaySettings;

/** Relays in separate processes, started with the class path of this process. */
final class RelayProcesses implements RelayTier {
    /** Sufficient for a relay in a fleet of the planned size. */
    private static final String MAX_HEAP_OPTION = "-Xmx256m";

    private static final int KILL_TIMEOUT_SECONDS = 10;

    private final Path workDirectory;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final Process[] processes;
    private long cpuNanosOfKilledRelays;

    /** Starts one relay on a free port for each element of the settings. Their files are kept in a new directory. */
    RelayProcesses(List<RelaySettings> settings) {
        try {
            workDirectory = Files.createTempDirectory("topazvalve-relays");
            processes = new Process[settings.size()];
            for (int i = 0; i < processes.length; i++) {
                addresses.add(withFreePort(settings.get(i).listen()));
                Files.writeString(settingsFile(i), toml(settings.get(i), addresses.get(i)));
                start(i);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static InetSocketAddress withFreePort(InetSocketAddress address) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, address.getAddress())) {
            return new InetSocketAddress(address.getAddress(), socket.getLocalPort());
        }
    }

    private Path settingsFile(int relay) {
        return workDirectory.resolve("relay-" + relay + ".toml");
    }

    private static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static String toml(RelaySettings settings, InetSocketAddress listen) {
        StringBuilder toml = new StringBuilder(String.format(
                Locale.ROOT,
                "name = \"%s\"%nlisten = \"%s\"%nmost_callers = %d%n",
                settings.name(),
                format(listen),
                settings.maxSubscribers()));
        settings.sources()
                .forEach(source -> toml.append(String.format(
                        Locale.ROOT,
                        "[[source]]%nname = \"%s\"%naddresses = [%s]%n",
                        source.name(),
                        source.addresses().stream()
                                .map(address -> '"' + format(address) + '"')
                                .collect(Collectors.joining(", ")))));
        return toml.toString();
    }

    @Override
    public List<InetSocketAddress> addresses() {
        return List.copyOf(addresses);
    }

    @Override
    public void kill(int relay) {
        cpuNanosOfKilledRelays += cpuNanos(processes[relay]);
        processes[relay].destroyForcibly();
        try {
            processes[relay].waitFor(KILL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void start(int relay) {
        try {
            processes[relay] = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-XX:+UseSerialGC",
                            "-XX:-UsePerfData",
                            MAX_HEAP_OPTION,
                            "-cp",
                            System.getProperty("java.class.path"),
                            Main.class.getName(),
                            settingsFile(relay).toString())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(
                            workDirectory.resolve("relay-" + relay + ".log").toFile()))
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static long cpuNanos(Process process) {
        return process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos();
    }

    @Override
    public long cpuNanos() {
        long sum = cpuNanosOfKilledRelays;
        for (Process process : processes) {
            sum += process.isAlive() ? cpuNanos(process) : 0;
        }
        return sum;
    }

    @Override
    public long maxResidentBytes() {
        long max = 0;
        for (Process process : processes) {
            max = Math.max(max, ProcFiles.residentBytes(process.pid()));
        }
        return max;
    }

    @Override
    public void close() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
    }
}
