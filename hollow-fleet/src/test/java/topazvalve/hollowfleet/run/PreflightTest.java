package topazvalve.hollowfleet.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import topazvalve.hollowfleet.timeline.Timeline;
import topazvalve.hollowfleet.timeline.TimelineFile;

/** Insufficient resources are reported with the limit to raise and the setting to change. */
class PreflightTest {
    private static final String PORT_RANGE = "32768\t60999\n";
    private static final long ENOUGH_HEAP = 8L << 30;

    private static Timeline timeline(int hollow, int zones) {
        return TimelineFile.parse(
                "t",
                "name = \"t\"\n[fleet]\nhollow = " + hollow + "\nservers = 100\nzones = " + zones
                        + "\n[[stage]]\nname = \"s\"\nlength = \"1s\"\n");
    }

    private static String limits(int openFiles) {
        return "Limit                     Soft Limit           Hard Limit           Units\n"
                + "Max open files            " + openFiles + "                 20000                files\n";
    }

    @Test
    void acceptsAFleetThatFits() {
        assertEquals(List.of(), Preflight.check(timeline(5_700, 13), limits(20_000), PORT_RANGE, ENOUGH_HEAP));
    }

    @Test
    void reportsEachInsufficientResource() {
        List<String> files = Preflight.check(timeline(5_700, 13), limits(1_024), PORT_RANGE, ENOUGH_HEAP);
        assertEquals(1, files.size(), files.toString());
        assertTrue(
                files.get(0).contains("ulimit -n 17400") && files.get(0).contains("fleet.hollow = 241"), files.get(0));
        List<String> ports = Preflight.check(timeline(5_700, 1), limits(20_000), "32768\t40000", ENOUGH_HEAP);
        assertEquals(1, ports.size(), ports.toString());
        assertTrue(ports.get(0).contains("fleet.zones = 4 or more"), ports.get(0));
        List<String> memory = Preflight.check(timeline(5_700, 13), limits(20_000), PORT_RANGE, 100 << 20);
        assertEquals(1, memory.size(), memory.toString());
        assertTrue(memory.get(0).contains("-Xmx"), memory.get(0));
    }
}
