package topazvalve.hollowfleet.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import topazvalve.hollowfleet.timeline.Timeline;
import topazvalve.hollowfleet.timeline.TimelineFile;

class PreflightTest {
    private static final String PORTS = "32768\t60999\n";
    private static final long ROOM = 8L << 30;

    private static Timeline of(int hollow, int zones) {
        return TimelineFile.parse(
                "t",
                "name = \"t\"\n[fleet]\nhollow = " + hollow + "\nservers = 100\nzones = " + zones
                        + "\n[[stage]]\nname = \"s\"\nlength = \"1s\"\n");
    }

    private static String limits(int files) {
        return "Limit                     Soft Limit           Hard Limit           Units\n"
                + "Max open files            " + files + "                 20000                files\n";
    }

    @Test
    void aFleetThatFitsWantsNothing() {
        assertEquals(List.of(), Preflight.check(of(5_700, 13), limits(20_000), PORTS, ROOM));
    }

    @Test
    void whatIsShortIsToldWithWhatToRaiseAndWhatToShrink() {
        List<String> files = Preflight.check(of(5_700, 13), limits(1_024), PORTS, ROOM);
        assertEquals(1, files.size(), files.toString());
        assertTrue(
                files.get(0).contains("ulimit -n 17400") && files.get(0).contains("fleet.hollow = 241"), files.get(0));
        List<String> ports = Preflight.check(of(5_700, 1), limits(20_000), "32768\t40000", ROOM);
        assertEquals(1, ports.size(), ports.toString());
        assertTrue(ports.get(0).contains("fleet.zones = 4 or more"), ports.get(0));
        List<String> memory = Preflight.check(of(5_700, 13), limits(20_000), PORTS, 100 << 20);
        assertEquals(1, memory.size(), memory.toString());
        assertTrue(memory.get(0).contains("-Xmx"), memory.get(0));
    }
}
