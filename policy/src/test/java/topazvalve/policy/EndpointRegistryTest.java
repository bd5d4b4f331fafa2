package topazvalve.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static topazvalve.policy.RecordingHost.IDEMPOTENT;
import static topazvalve.policy.RecordingHost.MS;
import static topazvalve.policy.RecordingHost.endpoint;
import static topazvalve.policy.RecordingHost.host;
import static topazvalve.policy.RecordingHost.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests of endpoint updates, the watch on the endpoint list and its backoff. */
class EndpointRegistryTest {

    @Test
    void drainingAndRemovedEndpointsGetNoNewRequests() {
        RecordingHost host = host(IDEMPOTENT).withEndpoints(4);
        host.policy.endpointsUpdated(host.now, UpdateKind.DELTA, List.of(endpoint(2, EndpointStatus.DRAINING, 0)));
        assertFalse(host.serveRequests(12, 0).contains(2L));
        host.policy.endpointsUpdated(host.now, UpdateKind.FULL, List.of(endpoint(0), endpoint(1)));
        assertEquals(Set.of(0L, 1L), new HashSet<>(host.serveRequests(12, 20)));
    }

    @Test
    void failedWatchKeepsTheListAndBacksOff() {
        RecordingHost host = new RecordingHost(settings(DiscoveryMode.SUBSCRIBE, IDEMPOTENT), 7).withEndpoints(3);
        assertEquals(1, host.watchCount);
        for (int i = 0; i < 8; i++) {
            host.policy.endpointsUpdated(host.now, UpdateKind.FAILED, List.of());
            host.advance(5_000 * MS);
            assertEquals(i + 2, host.watchCount);
        }
        host.request(1, 0);
        assertEquals(1, host.attempts.size());
        host.policy.endpointsUpdated(host.now, UpdateKind.FAILED, List.of());
        host.advance(749 * MS);
        assertEquals(9, host.watchCount, "after eight failures, half the maximum backoff passes without a call");
        host.advance(751 * MS);
        assertEquals(10, host.watchCount, "the maximum backoff is over");
    }

    /** New settings may name another discovery service, which has not failed. */
    @Test
    void changedSettingsResetTheBackoff() {
        Settings settings = settings(DiscoveryMode.SUBSCRIBE, IDEMPOTENT);
        RecordingHost host = new RecordingHost(settings, 7).withEndpoints(3);
        for (int i = 0; i < 8; i++) {
            host.policy.endpointsUpdated(host.now, UpdateKind.FAILED, List.of());
            host.advance(5_000 * MS);
        }
        int before = host.watchCount;
        host.policy.settingsChanged(host.now, settings);
        host.policy.endpointsUpdated(host.now, UpdateKind.FAILED, List.of());
        host.advance(250 * MS);
        assertEquals(before + 1, host.watchCount);
    }

    @Test
    void unansweredWatchIsRepeated() {
        RecordingHost host = new RecordingHost(settings(DiscoveryMode.SUBSCRIBE, IDEMPOTENT), 7).withEndpoints(3);
        host.advance(6_000 * MS);
        assertEquals(2, host.watchCount);
    }
}
