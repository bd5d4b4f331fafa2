package topazvalve.hollowfleet.run;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
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

/** Relays as processes of their own, of the jars that this program runs from. */
final class RelayProcesses implements RelayTier {
    /** What a relay of the plan's size is given: its list, its log of changes, its callers. */
    private static final String HEAP = "-Xmx256m";

    private static final long KB = 1_024;

    private final Path folder;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final Process[] processes;
    private long cpuBefore;

    /** Starts one of each settings; a port 0 becomes one that is free now. Logs go to a new folder. */
    RelayProcesses(List<RelaySettings> wanted) {
        try {
            folder = Files.createTempDirectory("topazvalve-relays");
            processes = new Process[wanted.size()];
            for (int i = 0; i < processes.length; i++) {
                InetSocketAddress listen = wanted.get(i).listen();
                try (ServerSocket any = new ServerSocket(0, 1, listen.getAddress())) {
                    addresses.add(new InetSocketAddress(listen.getAddress(), any.getLocalPort()));
                }
                Files.writeString(file(i), toml(wanted.get(i), addresses.get(i)));
                start(i);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Path file(int relay) {
        return folder.resolve("relay-" + relay + ".toml");
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static String toml(RelaySettings settings, InetSocketAddress listen) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "name = \"%s\"%nlisten = \"%s\"%nmost_callers = %d%n",
                settings.name(),
                text(listen),
                settings.maxSubscribers()));
        settings.sources()
                .forEach(each -> text.append(String.format(
                        Locale.ROOT,
                        "[[source]]%nname = \"%s\"%naddresses = [%s]%n",
                        each.name(),
                        each.addresses().stream()
                                .map(at -> '"' + text(at) + '"')
                                .collect(Collectors.joining(", ")))));
        return text.toString();
    }

    @Override
    public List<InetSocketAddress> addresses() {
        return List.copyOf(addresses);
    }

    @Override
    public void kill(int relay) {
        cpuBefore += cpu(processes[relay]);
        processes[relay].destroyForcibly();
        try {
            processes[relay].waitFor(10, TimeUnit.SECONDS);
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
                            HEAP,
                            "-cp",
                            System.getProperty("java.class.path"),
                            Main.class.getName(),
                            file(relay).toString())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(
                            folder.resolve("relay-" + relay + ".log").toFile()))
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static long cpu(Process process) {
        return process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos();
    }

    @Override
    public long cpu() {
        long all = cpuBefore;
        for (Process each : processes) {
            all += each.isAlive() ? cpu(each) : 0;
        }
        return all;
    }

    @Override
    public long resident() {
        long most = 0;
        for (Process each : processes) {
            most = Math.max(most, resident(each.pid()));
        }
        return most;
    }

    /** Resident memory of a process, bytes; 0 for one that has ended. */
    static long resident(long pid) {
        try {
            return Files.readString(Path.of("/proc/" + pid + "/status"), StandardCharsets.US_ASCII)
                            .lines()
                            .filter(each -> each.startsWith("VmRSS:"))
                            .map(each -> each.replaceAll("\\D", ""))
                            .mapToLong(Long::parseLong)
                            .findFirst()
                            .orElse(0)
                    * KB;
        } catch (IOException e) {
            return 0;
        }
    }

    @Override
    public void close() {
        for (Process each : processes) {
            each.destroyForcibly();
        }
    }
}
