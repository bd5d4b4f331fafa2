package topazvalve.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.policy.RecordingHost.IDEMPOTENT;
import static topazvalve.policy.RecordingHost.MS;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of the load probes that precede an attempt. */
class LoadProbingTest {

    private static RecordingHost loadProbingHost(int instanceCount) {
        return new RecordingHost(RecordingHost.loadProbingSettings(instanceCount, IDEMPOTENT), 7).withEndpoints(10);
    }

    /** Answers all outstanding probes with this load; the endpoint of the probe at index {@code idle} reports 0. */
    private static void answerProbes(RecordingHost host, float inFlight, int idle) {
        List<Long> probed = host.log.stream()
                .filter(line -> line.startsWith("health-check "))
                .map(line -> Long.parseLong(line.substring("health-check ".length())))
                .toList();
        host.log.clear();
        host.now += MS;
        for (int i = 0; i < probed.size(); i++) {
            host.policy.healthCheckCompleted(
                    host.now, probed.get(i), Outcome.OK, MS, new float[] {0, i == idle ? 0 : inFlight});
        }
    }

    @Test
    void busyEndpointsAreSkippedWhereProbesAreCheap() {
        RecordingHost host = loadProbingHost(100);
        host.request(1, 0);
        assertTrue(host.attempts.isEmpty(), "the request waits for its probes");
        List<String> probed = host.log.stream()
                .filter(line -> line.startsWith("health-check "))
                .toList();
        assertEquals(5, probed.size());
        answerProbes(host, 3, 2);
        assertEquals(probed.get(2), "health-check " + host.last().endpoint());
    }

    @Test
    void unansweredProbesDelayARequestOnlyBriefly() {
        RecordingHost host = loadProbingHost(100);
        host.request(1, 0);
        host.advance(30 * MS);
        assertEquals(1, host.attempts.size());
    }

    @Test
    void requestIsRejectedAtOnceIfAllProbedEndpointsAreOverloaded() {
        RecordingHost host = loadProbingHost(100);
        for (int i = 0; i < 40; i++) {
            host.request(i, 0);
            answerProbes(host, 0, 0);
            host.advance(100 * MS);
            host.outcome(host.last(), Outcome.OK);
        }
        host.request(100, 0);
        answerProbes(host, 9, -1);
        assertEquals(
                List.of("reject 100"), host.answers, "ten responses of 100 ms each exceed the objective of 500 ms");
    }

    @Test
    void attemptTimesOutAtTheObjectiveOnlyWithLoadProbing() {
        RecordingHost host = loadProbingHost(100);
        host.request(1, 0);
        answerProbes(host, 0, 0);
        assertEquals(
                List.of("forward 1 " + host.last().endpoint() + " " + 499 * MS),
                host.log.stream().filter(line -> line.startsWith("forward")).toList());
        host = loadProbingHost(3);
        host.request(1, 0);
        assertTrue(host.log.contains("forward 1 " + host.last().endpoint() + " 0"));
    }

    @Test
    void fewSidecarsDoNotProbe() {
        RecordingHost host = loadProbingHost(3);
        host.request(1, 0);
        assertEquals(1, host.attempts.size());
        assertFalse(host.log.stream().anyMatch(line -> line.startsWith("health-check ")));
    }
}
