package topazvalve.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.policy.RecordingHost.IDEMPOTENT;
import static topazvalve.policy.RecordingHost.MS;
import static topazvalve.policy.RecordingHost.endpoint;
import static topazvalve.policy.RecordingHost.settings;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what cold endpoints get from many sidecars at once, each of which sees little of the load. */
class ColdEndpointsTest {
    private static final int SIDECARS = 14;
    private static final int SERVERS = 10;
    private static final int REPLACED = 6;

    /** Returns sidecars that have served for 0.5 s when most of their endpoints are replaced by cold ones. */
    private static List<RecordingHost> fleetShortlyAfterStart() {
        List<RecordingHost> fleet = new ArrayList<>();
        for (int seed = 0; seed < SIDECARS; seed++) {
            RecordingHost host = new RecordingHost(settings(IDEMPOTENT), seed).withEndpoints(SERVERS);
            host.serve(0, 50, 0, 10 * MS);
            List<EndpointInfo> changes = new ArrayList<>();
            for (int i = 0; i < REPLACED; i++) {
                changes.add(endpoint(i, EndpointStatus.REMOVED, 0));
                changes.add(endpoint(100 + i, EndpointStatus.READY, host.now));
            }
            host.policy.endpointsUpdated(host.now, UpdateKind.DELTA, changes);
            fleet.add(host);
        }
        return fleet;
    }

    private static long attemptsToColdEndpoints(RecordingHost host, int since) {
        return host.attempts.stream()
                .skip(since)
                .filter(sent -> sent.endpoint() >= 100)
                .count();
    }

    @Test
    void coldEndpointsGetTheirFractionShortlyAfterAStart() {
        long cold = 0;
        for (RecordingHost host : fleetShortlyAfterStart()) {
            int before = host.attempts.size();
            host.serve(1_000, 1_150, 0, 10 * MS);
            cold += attemptsToColdEndpoints(host, before);
        }
        // Six endpoints at 0.3 to 0.43 of a warm one's capacity, beside four warm ones, should get 31 to 39 %.
        double fraction = cold / (SIDECARS * 150.0);
        assertTrue(fraction > 0.2 && fraction < 0.45, "cold endpoints got " + fraction);
    }

    @Test
    void firstRequestsAreServedIfAllEndpointsAreCold() {
        RecordingHost host = new RecordingHost(settings(IDEMPOTENT), 1).withEndpoints(0);
        List<EndpointInfo> cold = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            cold.add(endpoint(i, EndpointStatus.READY, host.now));
        }
        host.policy.endpointsUpdated(host.now, UpdateKind.FULL, cold);
        for (int i = 0; i < 5; i++) {
            host.request(i, 0);
            host.advance(20 * MS);
        }
        assertEquals(5, host.attempts.size());
    }

    /** A cold endpoint gets little more than its capacity from all sidecars together. */
    @Test
    void allSidecarsTogetherKeepToAColdEndpointsCapacity() {
        long[] cold = new long[REPLACED];
        long total = 0;
        for (RecordingHost host : fleetShortlyAfterStart()) {
            int before = host.attempts.size();
            host.serve(1_000, 1_150, 0, 10 * MS);
            total += 150;
            for (int i = 0; i < REPLACED; i++) {
                cold[i] += host.attemptsTo(100 + i, before);
            }
        }
        // Were this load the capacity of all endpoints, a cold one could serve 0.3 of what a warm one serves.
        double capacity = 0.3 * total / (SERVERS - REPLACED + 0.3 * REPLACED);
        for (long sent : cold) {
            // Its capacity grows to 0.43 meanwhile. An equal tenth of the load would be 1.9 times its capacity.
            assertTrue(sent < 1.6 * capacity, sent + " for an endpoint with a capacity of " + capacity);
        }
    }
}
