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
import topazvalve.hollowfleet.history.ServerNames;
import topazvalve.hollowfleet.oracle.Rule;
import topazvalve.hollowfleet.timeline.TimelineFile;
import topazvalve.policy.EndpointStatus;

/**
 * Runs of small fleets on real sockets. The tests do not depend on the speed of the machine: they allow a minute for
 * each change, except for the test that loses a change.
 */
class FleetRunTest {
    /** Loggers that would log each failure once per sidecar. Without these references, their levels could be lost. */
    private static final List<Logger> REPETITIVE_LOGGERS =
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
    static void silenceLoggers() {
        REPETITIVE_LOGGERS.forEach(logger -> logger.setLevel(Level.OFF));
    }

    private static Set<Rule> violatedRules(String text, int stages, Consumer<FleetRun> fault) {
        try (FleetRun run = new FleetRun(TimelineFile.parse("t", text), 7)) {
            boolean[] injected = {false};
            List<StageResult> results = run.run(result -> {
                if (!injected[0]) {
                    injected[0] = true;
                    fault.accept(run);
                }
            });
            assertEquals(stages + 1, results.size());
            Set<Rule> rules = EnumSet.noneOf(Rule.class);
            rules.addAll(run.oracle().counts().keySet());
            return rules;
        }
    }

    private static void appendStage(StringBuilder text, String keys) {
        text.append("[[stage]]\nname = \"")
                .append(keys.replaceAll("[\"\\n]", " "))
                .append("\"\nsettle = \"60s\"\n")
                .append(keys)
                .append("\nchanges_a_day = 2_000_000\n");
    }

    @Test
    void everySidecarIsUpToDateAfterEveryFault() {
        StringBuilder text = new StringBuilder(FLEET + ALLOWED + CHANGES);
        appendStage(text, "length = \"1s\"\nrestart = 30\ndown = \"200ms\"");
        appendStage(text, "length = \"1s\"\nrestart = 120\nfrom = \"nothing\"\ndown = \"100ms\"");
        appendStage(text, "length = \"2s\"\nlink = \"cut\"\nregions = [\"1\"]");
        appendStage(text, "length = \"1s\"\nlink = \"silent\"\nzones = [\"0\"]");
        appendStage(text, "length = \"1s\"\nlink = \"slow\"\ndelay = \"300ms\"\nzones = [\"2\"]");
        appendStage(text, "length = \"1s\"\nlink = \"refusing\"\nzones = [\"3\"]\nrestart = 20");
        appendStage(text, "length = \"1s\"\nstalled = 10");
        appendStage(text, "length = \"1s\"\nsource_down = \"500ms\"");
        appendStage(text, "length = \"1s\"\nsource_down = \"500ms\"\nversions = \"lower\"");
        try (FleetRun run = new FleetRun(TimelineFile.parse("t", text.toString()), 7)) {
            for (StageResult stage : run.run(result -> {})) {
                assertTrue(stage.isClean(), stage.name() + ": " + stage.behind() + " behind, " + stage.violations());
            }
        }
    }

    @Test
    void severalSourcesHaveTheirOwnServersAndVersions() {
        String text = FLEET.replace("regions = 3", "regions = 3\nsources = 3") + "[source]\nepoch = true\n" + ALLOWED
                + CHANGES;
        assertEquals(Set.of(), violatedRules(text, 1, run -> {}));
    }

    @Test
    void stageWaitsForSidecarsThatAreDownAtItsEnd() {
        String text = FLEET + ALLOWED + "[[stage]]\nname = \"s\"\nlength = \"10ms\"\nsettle = \"60s\"\n"
                + "restart = 120\ndown = \"1s\"\n";
        try (FleetRun run = new FleetRun(TimelineFile.parse("t", text), 7)) {
            StageResult result = run.run(each -> {}).get(1);
            assertTrue(result.isClean(), result.toString());
            assertEquals(120, result.hollow().firstResponseMicros().getTotalCount());
        }
    }

    @Test
    void everySidecarBehindRelaysIsUpToDateAfterEveryFault() {
        StringBuilder text = new StringBuilder(FLEET.replace("regions = 3", "regions = 3\nsources = 3")
                + "[source]\nepoch = true\n[relays]\ncount = 4\n" + ALLOWED + CHANGES);
        appendStage(text, "length = \"1s\"\nrelays_killed = 2\nrelays_down = \"500ms\"");
        appendStage(text, "length = \"1s\"\nrelays_killed = 4\nrelays_down = \"100ms\"");
        appendStage(text, "length = \"2s\"\nlink = \"cut\"\nregions = [\"0\"]");
        appendStage(text, "length = \"1s\"\nrestart = 120\nfrom = \"nothing\"\ndown = \"100ms\"");
        appendStage(text, "length = \"1s\"\nsource_down = \"500ms\"\nversions = \"lower\"");
        appendStage(text, "length = \"1s\"\nstalled = 10");
        try (FleetRun run = new FleetRun(TimelineFile.parse("t", text.toString()), 7)) {
            for (StageResult stage : run.run(result -> {})) {
                assertTrue(
                        stage.isClean(),
                        stage.name() + ": " + stage.behind() + " behind, " + stage.violations()
                                + run.oracle().examples());
            }
        }
    }

    @Test
    void reportsARepeatedOldLine() {
        assertEquals(Set.of(Rule.WENT_BACK), violatedRules(FLEET + ALLOWED + CHANGES, 1, run -> {
            // The latest change of server 2 is change 3; change 1 belongs to server 0.
            run.sources().source(0).injectLine(readyLine(2, 1));
            run.sources().source(0).changeStatus(2, EndpointStatus.DRAINING);
        }));
    }

    /** Returns a line that makes a server ready with the given change number. */
    private static String readyLine(int server, int change) {
        return "{\"rev\":60,\"all\":false,\"targets\":[{\"uid\":\"" + ServerNames.nameOf(server)
                + "\",\"endpoint\":\"10.0.0.2:8080\",\"pod_group\":" + change + ",\"state\":\"SERVING\"}]}";
    }

    @Test
    void reportsADrainingServerThatBecameReady() {
        assertEquals(Set.of(Rule.RETURNED), violatedRules(FLEET + ALLOWED + CHANGES + CHANGES, 2, run -> {
            run.sources().source(0).changeStatus(2, EndpointStatus.DRAINING);
            run.sources().source(0).publishNow();
            run.sources().source(0).injectLine(readyLine(2, 3));
            run.sources().source(0).changeStatus(2, EndpointStatus.READY);
        }));
    }

    @Test
    void reportsALostChange() {
        String text = FLEET + "[allowed]\nlate = \"2s\"\n" + CHANGES.replace("60s", "6s");
        assertTrue(violatedRules(text, 1, run -> run.sources().source(0).loseChange(2, EndpointStatus.DRAINING))
                .contains(Rule.CHANGE_LATE));
    }

    @Test
    void reportsMoreCallsThanTheCapacityOfTheSource() {
        String text = FLEET + "[source]\ncapacity = 100.0\n" + ALLOWED + CHANGES;
        assertEquals(Set.of(Rule.SERVING_RATE), violatedRules(text, 1, run -> {}));
    }

    @Test
    void reportsMoreBytesThanTheBudget() {
        String text = FLEET + ALLOWED + "bytes_a_second = 1.0\nbytes_over = \"1s\"\n" + CHANGES.replace("500ms", "3s");
        assertEquals(Set.of(Rule.CONTROL_BYTES), violatedRules(text, 1, run -> {}));
    }
}
