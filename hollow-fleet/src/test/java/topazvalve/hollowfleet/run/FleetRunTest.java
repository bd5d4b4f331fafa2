package topazvalve.hollowfleet.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import topazvalve.hollowfleet.oracle.Rule;
import topazvalve.hollowfleet.timeline.TimelineFile;
import topazvalve.hollowfleet.truth.Names;
import topazvalve.policy.LoadBalancer.EndpointStatus;

/**
 * Some hollow sidecars on real sockets. What a machine without time to spare does to the 9 s is no concern of
 * these tests: they allow a minute, but for the one that plants a change nobody is told.
 */
class FleetRunTest {
    /** Thousands say the same of every failure; kept, or the level would be forgotten. */
    private static final List<Logger> TALKERS =
            List.of(Logger.getLogger("discovery"), Logger.getLogger("source"), Logger.getLogger("relay"));

    private static final String FLEET = """
            name = "t"
            [fleet]
            hollow = 120
            servers = 60
            zones = 6
            regions = 3
            loops = 2
            """;
    private static final String ALLOWED = """
            [allowed]
            late = "60s"
            """;
    private static final String CHANGES = """
            [[stage]]
            name = "changes"
            length = "500ms"
            settle = "60s"
            burst = 5
            burst_zone = 1
            burst_within = "200ms"
            """;

    @BeforeAll
    static void quiet() {
        TALKERS.forEach(each -> each.setLevel(Level.OFF));
    }

    private static Set<Rule> found(String text, int stages, Consumer<FleetRun> fault) {
        try (FleetRun run = new FleetRun(TimelineFile.parse("t", text), 7)) {
            boolean[] planted = {false};
            List<StageResult> results = run.play(each -> {
                if (!planted[0]) {
                    planted[0] = true;
                    fault.accept(run);
                }
            });
            assertEquals(stages + 1, results.size());
            Set<Rule> rules = EnumSet.noneOf(Rule.class);
            rules.addAll(run.oracle().counts().keySet());
            return rules;
        }
    }

    private static void stage(StringBuilder text, String keys) {
        text.append("[[stage]]\nname = \"")
                .append(keys.replaceAll("[\"\\n]", " "))
                .append("\"\nsettle = \"60s\"\n")
                .append(keys)
                .append("\nchanges_a_day = 2_000_000\n");
    }

    @Test
    void whateverHappensAllHaveAllInTheEnd() {
        StringBuilder text = new StringBuilder(FLEET + ALLOWED + CHANGES);
        stage(text, "length = \"1s\"\nrestart = 30\ndown = \"200ms\"");
        stage(text, "length = \"1s\"\nrestart = 120\nfrom = \"nothing\"\ndown = \"100ms\"");
        stage(text, "length = \"2s\"\nlink = \"cut\"\nregions = [\"1\"]");
        stage(text, "length = \"1s\"\nlink = \"silent\"\nzones = [\"0\"]");
        stage(text, "length = \"1s\"\nlink = \"slow\"\ndelay = \"300ms\"\nzones = [\"2\"]");
        stage(text, "length = \"1s\"\nlink = \"refusing\"\nzones = [\"3\"]\nrestart = 20");
        stage(text, "length = \"1s\"\nstalled = 10");
        stage(text, "length = \"1s\"\nsource_down = \"500ms\"");
        stage(text, "length = \"1s\"\nsource_down = \"500ms\"\nversions = \"lower\"");
        try (FleetRun run = new FleetRun(TimelineFile.parse("t", text.toString()), 7)) {
            for (StageResult each : run.play(told -> {})) {
                assertTrue(each.clean(), each.name() + ": " + each.behind() + " behind, " + each.found());
            }
        }
    }

    @Test
    void severalSourcesEachHaveTheirOwnServersAndVersions() {
        String text = FLEET.replace("regions = 3", "regions = 3\nsources = 3") + "[source]\nepoch = true\n" + ALLOWED
                + CHANGES;
        assertEquals(Set.of(), found(text, 1, run -> {}));
    }

    @Test
    void aStageWaitsForThoseThatAreStillDownAtItsEnd() {
        String text = FLEET + ALLOWED + "[[stage]]\nname = \"s\"\nlength = \"10ms\"\nsettle = \"60s\"\n"
                + "restart = 120\ndown = \"1s\"\n";
        try (FleetRun run = new FleetRun(TimelineFile.parse("t", text), 7)) {
            StageResult result = run.play(told -> {}).get(1);
            assertTrue(result.clean(), result.toString());
            assertEquals(120, result.figures().answers().getTotalCount());
        }
    }

    @Test
    void throughRelaysAllHaveAllInTheEnd() {
        StringBuilder text = new StringBuilder(FLEET.replace("regions = 3", "regions = 3\nsources = 3")
                + "[source]\nepoch = true\n[relays]\ncount = 4\n" + ALLOWED + CHANGES);
        stage(text, "length = \"1s\"\nrelays_killed = 2\nrelays_down = \"500ms\"");
        stage(text, "length = \"1s\"\nrelays_killed = 4\nrelays_down = \"100ms\"");
        stage(text, "length = \"2s\"\nlink = \"cut\"\nregions = [\"0\"]");
        stage(text, "length = \"1s\"\nrestart = 120\nfrom = \"nothing\"\ndown = \"100ms\"");
        stage(text, "length = \"1s\"\nsource_down = \"500ms\"\nversions = \"lower\"");
        stage(text, "length = \"1s\"\nstalled = 10");
        try (FleetRun run = new FleetRun(TimelineFile.parse("t", text.toString()), 7)) {
            for (StageResult each : run.play(told -> {})) {
                assertTrue(
                        each.clean(),
                        each.name() + ": " + each.behind() + " behind, " + each.found()
                                + run.oracle().examples());
            }
        }
    }

    @Test
    void anOldLineSentAgainIsFound() {
        assertEquals(Set.of(Rule.WENT_BACK), found(FLEET + ALLOWED + CHANGES, 1, run -> {
            // Server 2 has change 3; 1 was server 0's.
            run.sources().number(0).plant(serving(2, 1));
            run.sources().number(0).change(2, EndpointStatus.DRAINING);
        }));
    }

    /** A line that says of a server that it serves, by this change. */
    private static String serving(int server, int change) {
        return "{\"rev\":60,\"all\":false,\"targets\":[{\"uid\":\"" + Names.of(server)
                + "\",\"endpoint\":\"10.0.0.2:8080\",\"pod_group\":" + change + ",\"state\":\"SERVING\"}]}";
    }

    @Test
    void aDrainedServerThatIsBackIsFound() {
        assertEquals(Set.of(Rule.RETURNED), found(FLEET + ALLOWED + CHANGES + CHANGES, 2, run -> {
            run.sources().number(0).change(2, EndpointStatus.DRAINING);
            run.sources().number(0).tellNow();
            run.sources().number(0).plant(serving(2, 3));
            run.sources().number(0).change(2, EndpointStatus.READY);
        }));
    }

    @Test
    void aChangeThatNobodyIsToldIsFound() {
        String text = FLEET + "[allowed]\nlate = \"2s\"\n" + CHANGES.replace("60s", "6s");
        assertTrue(found(text, 1, run -> run.sources().number(0).swallow(2, EndpointStatus.DRAINING))
                .contains(Rule.CHANGE_LATE));
    }

    @Test
    void moreCallsThanTheSourceCanDoAreFound() {
        String text = FLEET + "[source]\ncapacity = 100.0\n" + ALLOWED + CHANGES;
        assertEquals(Set.of(Rule.SERVING_RATE), found(text, 1, run -> {}));
    }

    @Test
    void moreBytesThanAllowedAreFound() {
        String text = FLEET + ALLOWED + "bytes_a_second = 1.0\nbytes_over = \"1s\"\n" + CHANGES.replace("500ms", "3s");
        assertEquals(Set.of(Rule.CONTROL_BYTES), found(text, 1, run -> {}));
    }
}
