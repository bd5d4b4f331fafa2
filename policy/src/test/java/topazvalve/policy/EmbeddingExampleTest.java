package topazvalve.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The README's embedding example, compiled and run. */
class EmbeddingExampleTest {

    @Test
    void hostDrivesThePolicy() {
        // The host carries out the policy's actions; this one only records them.
        RecordingHost host = new RecordingHost(RecordingHost.settings(RecordingHost.IDEMPOTENT), 42);
        LoadBalancer balancer = host.policy;
        long now = host.now;

        balancer.endpointsUpdated(
                now,
                UpdateKind.CACHED,
                List.of(
                        new EndpointInfo(1, 0, 0, 0, EndpointStatus.READY, 1, 0),
                        new EndpointInfo(2, 0, 0, 0, EndpointStatus.READY, 1, 0)));
        balancer.requestReceived(now, new Request(100, 0, 0, 0, 1_000_000_000L, 0, false, false));
        RecordingHost.SentAttempt sent = host.last();
        assertEquals(100, sent.request());

        now += 20_000_000;
        balancer.attemptCompleted(
                now, new AttemptResult(100, 0, sent.endpoint(), Outcome.OK, 20_000_000, true), new float[0]);
        assertTrue(host.answers.isEmpty(), "the host passed the response on; no further answer follows");

        // After a restart: a new instance with a new seed and no state.
        RecordingHost restarted = new RecordingHost(RecordingHost.settings(RecordingHost.IDEMPOTENT), 43);
        restarted.policy.endpointsUpdated(now, UpdateKind.CACHED, List.of());
        restarted.request(101, 0);
        assertEquals(List.of("reject 101"), restarted.answers);
    }
}
