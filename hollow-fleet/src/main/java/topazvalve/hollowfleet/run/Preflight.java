package topazvalve.hollowfleet.run;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;
import topazvalve.hollowfleet.timeline.Timeline;
import topazvalve.hollowfleet.timeline.Timeline.Size;

/** Checks whether the machine has enough file descriptors, ports and memory for a fleet, without changing limits. */
public final class Preflight {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final Path PORT_RANGE = Path.of("/proc/sys/net/ipv4/ip_local_port_range");
    private static final String OPEN_FILES_LIMIT = "Max open files";
    private static final int SOFT_LIMIT_COLUMN = 3;
    /** Both ends of a watch, and one more while a new watch replaces the old one. */
    private static final int DESCRIPTORS_PER_SIDECAR = 3;

    private static final int OTHER_DESCRIPTORS = 300;
    /** The number of calls of a sidecar within a minute, during which a port cannot be reused after its call. */
    private static final int PORTS_PER_SIDECAR = 4;

    private static final long BYTES_PER_PARSED_ENDPOINT = 160;
    /** Heap of a sidecar without its endpoint list, rounded up (docs/measurements.md). */
    private static final long BYTES_PER_SIDECAR = 100_000;

    private static final long BASE_HEAP_BYTES = 200_000_000;
    private static final int MIB_SHIFT = 20;

    private Preflight() {}

    /**
     * Checks the resources of this process.
     *
     * @return a message for each insufficient resource
     * @throws IOException if the limits of the system cannot be read
     */
    public static List<String> check(Timeline timeline) throws IOException {
        return check(
                timeline,
                ProcFiles.read(LIMITS),
                ProcFiles.read(PORT_RANGE),
                Runtime.getRuntime().maxMemory());
    }

    /**
     * Checks the given resources.
     *
     * @param limits the text of {@code /proc/self/limits}
     * @param portRange the text of {@code /proc/sys/net/ipv4/ip_local_port_range}
     * @param maxHeapBytes the maximum heap size of the process
     * @return a message for each insufficient resource, with the limit to raise or the setting to change
     */
    static List<String> check(Timeline timeline, String limits, String portRange, long maxHeapBytes) {
        return Stream.of(
                        checkDescriptors(timeline.size(), limits),
                        checkPorts(timeline.size(), portRange),
                        checkMemory(timeline, maxHeapBytes))
                .flatMap(Optional::stream)
                .toList();
    }

    private static Optional<String> checkDescriptors(Size size, String limits) {
        long allowed = openFilesLimit(limits);
        long required = (long) size.hollowSidecars() * DESCRIPTORS_PER_SIDECAR + OTHER_DESCRIPTORS;
        if (allowed >= required) {
            return Optional.empty();
        }
        long possibleSidecars = Math.max(0, (allowed - OTHER_DESCRIPTORS) / DESCRIPTORS_PER_SIDECAR);
        return Optional.of("file descriptors: " + required + " required, " + allowed + " allowed; raise the limit with"
                + " `ulimit -n " + required + "`, or set fleet.hollow = " + possibleSidecars + " or less");
    }

    private static long openFilesLimit(String limits) {
        return limits.lines()
                .filter(line -> line.startsWith(OPEN_FILES_LIMIT))
                .findFirst()
                .map(line -> line.split("\\s+")[SOFT_LIMIT_COLUMN])
                .filter(limit -> limit.matches("\\d+"))
                .map(Long::parseLong)
                .orElse(Long.MAX_VALUE);
    }

    private static Optional<String> checkPorts(Size size, String portRange) {
        String[] bounds = portRange.trim().split("\\s+");
        long available = Long.parseLong(bounds[1]) - Long.parseLong(bounds[0]) + 1;
        long required = ((long) size.hollowSidecars() / size.zones() + 1) * PORTS_PER_SIDECAR;
        if (available >= required) {
            return Optional.empty();
        }
        long sufficientZones = (long) size.hollowSidecars() * PORTS_PER_SIDECAR / available + 1;
        return Optional.of("ports: " + required + " required per listening address, " + available
                + " available; widen net.ipv4.ip_local_port_range, or set fleet.zones = " + sufficientZones
                + " or more, since each zone has its own address");
    }

    private static Optional<String> checkMemory(Timeline timeline, long maxHeapBytes) {
        Size size = timeline.size();
        boolean receivesFullLists = timeline.stages().stream()
                .anyMatch(stage -> stage.sidecarRestart().knowledge() == Timeline.InitialKnowledge.NOTHING);
        long listBytes = size.servers() * (Integer.BYTES + (receivesFullLists ? BYTES_PER_PARSED_ENDPOINT : 0));
        long requiredBytes = BASE_HEAP_BYTES + size.hollowSidecars() * (BYTES_PER_SIDECAR + listBytes);
        if (maxHeapBytes >= requiredBytes) {
            return Optional.empty();
        }
        return Optional.of(String.format(
                Locale.ROOT,
                "memory: about %d MiB of heap required, %d MiB allowed; raise the limit with"
                        + " JAVA_TOOL_OPTIONS=-Xmx%dm, or reduce fleet.hollow or fleet.servers",
                requiredBytes >> MIB_SHIFT,
                maxHeapBytes >> MIB_SHIFT,
                requiredBytes >> MIB_SHIFT));
    }
}
