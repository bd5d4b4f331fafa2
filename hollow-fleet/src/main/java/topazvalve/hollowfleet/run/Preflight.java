package topazvalve.hollowfleet.run;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import topazvalve.hollowfleet.timeline.Timeline;
import topazvalve.hollowfleet.timeline.Timeline.Size;

/**
 * Whether the machine has room for a fleet: descriptors, ports, memory. What is short is told with what to
 * raise and what to shrink; nothing is changed here.
 */
public final class Preflight {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final Path PORTS = Path.of("/proc/sys/net/ipv4/ip_local_port_range");
    /** A watch has two ends in this process; while one is opened anew, the old one may still be there. */
    private static final int ENDS = 3;

    private static final int OTHERS = 300;
    /** A call's port rests for a minute after it: a few calls an instance in that time. */
    private static final int CALLS_A_MINUTE = 4;

    private static final long ENTRY_BYTES = 160;
    /** What one took when measured (docs/measurements.md), rounded up. */
    private static final long HOLLOW_BYTES = 100_000;

    private static final long BASE_BYTES = 200_000_000;

    private Preflight() {}

    /**
     * What is short, in words; empty if there is room.
     *
     * @param limits the text of {@code /proc/self/limits}
     * @param ports the text of {@code ip_local_port_range}
     * @param heap bytes that the process may use
     */
    static List<String> check(Timeline timeline, String limits, String ports, long heap) {
        List<String> wanting = new ArrayList<>();
        Size size = timeline.size();
        long descriptors = limits.lines()
                .filter(each -> each.startsWith("Max open files"))
                .findFirst()
                .map(each -> each.split("\\s+")[3])
                .filter(each -> each.matches("\\d+"))
                .map(Long::parseLong)
                .orElse(Long.MAX_VALUE);
        long wanted = (long) size.hollow() * ENDS + OTHERS;
        if (descriptors < wanted) {
            wanting.add("descriptors: " + wanted + " wanted, " + descriptors + " allowed; raise them with"
                    + " `ulimit -n " + wanted + "`, or set fleet.hollow = "
                    + Math.max(0, (descriptors - OTHERS) / ENDS) + " or less");
        }
        String[] range = ports.trim().split("\\s+");
        long free = Long.parseLong(range[1]) - Long.parseLong(range[0]) + 1;
        long perZone = ((long) size.hollow() / size.zones() + 1) * CALLS_A_MINUTE;
        if (free < perZone) {
            wanting.add("ports: " + perZone + " wanted for each listening address, " + free
                    + " there; widen net.ipv4.ip_local_port_range, or set fleet.zones = "
                    + ((long) size.hollow() * CALLS_A_MINUTE / free + 1)
                    + " or more, which have an address each");
        }
        boolean whole = timeline.stages().stream().anyMatch(each -> each.from() == Timeline.From.NOTHING);
        long list = size.servers() * (Integer.BYTES + (whole ? ENTRY_BYTES : 0));
        long bytes = BASE_BYTES + size.hollow() * (HOLLOW_BYTES + list);
        if (heap < bytes) {
            wanting.add(String.format(
                    Locale.ROOT,
                    "memory: about %d MB wanted, %d MB allowed; raise it with"
                            + " JAVA_TOOL_OPTIONS=-Xmx%dm, or shrink fleet.hollow or fleet.servers",
                    bytes >> 20,
                    heap >> 20,
                    bytes >> 20));
        }
        return wanting;
    }

    /** As {@link #check(Timeline, String, String, long)}, with what this process has. */
    public static List<String> check(Timeline timeline) throws IOException {
        return check(
                timeline,
                Machine.read(LIMITS),
                Machine.read(PORTS),
                Runtime.getRuntime().maxMemory());
    }
}
