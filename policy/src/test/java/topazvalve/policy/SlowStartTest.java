package topazvalve.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.policy.RecordingHost.IDEMPOTENT;
import static topazvalve.policy.RecordingHost.MS;
import static topazvalve.policy.RecordingHost.endpoint;
import static topazvalve.policy.RecordingHost.host;
import static topazvalve.policy.RecordingHost.settings;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what a warming endpoint gets from one sidecar. */
class SlowStartTest {

    @Test
    void coldEndpointGetsNoMoreThanItsFractionOfAWarmOne() {
        RecordingHost host = host(IDEMPOTENT).withEndpoints(4);
        host.serve(0, 2_000, 0, 5 * MS);
        host.policy.endpointsUpdated(host.now, UpdateKind.DELTA, List.of(endpoint(9, EndpointStatus.READY, host.now)));
        int before = host.attempts.size();
        host.serve(5_000, 5_300, 0, 5 * MS);
        long cold = host.attemptsTo(9, before);
        // 200 requests per second for 1.5 s over 4 warm endpoints: 75 each. The cold capacity of 0.3 has hardly grown.
        assertTrue(cold > 5 && cold < 40, "cold endpoint got " + cold);
    }

    @Test
    void firstRequestsOfManySidecarsDoNotOverloadAColdEndpoint() {
        int cold = 0;
        int warm = 0;
        for (int seed = 0; seed < 100; seed++) {
            RecordingHost host = new RecordingHost(settings(IDEMPOTENT), seed).withEndpoints(4);
            host.serve(0, 20, 0, 500 * MS);
            host.policy.endpointsUpdated(
                    host.now, UpdateKind.DELTA, List.of(endpoint(9, EndpointStatus.READY, host.now)));
            int before = host.attempts.size();
            host.serve(100, 105, 0, 300 * MS);
            cold += (int) host.attemptsTo(9, before);
            warm += 5 - (int) host.attemptsTo(9, before);
        }
        // A warm endpoint gets about 120; the cold capacity of 0.3 grows to 0.4 in these 1.5 s.
        assertTrue(cold > 5 && cold < 0.5 * warm / 4, "cold endpoint got " + cold + ", warm ones " + warm);
    }

    @Test
    void sidecarWithoutTrafficYetSendsNothingToColdEndpoints() {
        for (int seed = 0; seed < 20; seed++) {
            RecordingHost host = new RecordingHost(settings(IDEMPOTENT), seed).withEndpoints(2);
            host.policy.endpointsUpdated(
                    host.now, UpdateKind.DELTA, List.of(endpoint(9, EndpointStatus.READY, host.now)));
            host.burst(0, 3, 0);
            assertEquals(0, host.attemptsTo(9, 0));
        }
    }
}
