package topazvalve.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.policy.RecordingHost.IDEMPOTENT;
import static topazvalve.policy.RecordingHost.MS;
import static topazvalve.policy.RecordingHost.NON_IDEMPOTENT;
import static topazvalve.policy.RecordingHost.endpoint;
import static topazvalve.policy.RecordingHost.host;
import static topazvalve.policy.RecordingHost.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests of the order in which endpoints take turns, and of the choice between two neighbors. */
class RandomizedRoundRobinTest {

    @Test
    void permutationIsCycledEvenlyWhileInFlightCountsTie() {
        RecordingHost host = host(IDEMPOTENT).withEndpoints(5);
        List<Long> first = host.serveRequests(5, 0);
        assertEquals(5, new HashSet<>(first).size());
        assertEquals(first, host.serveRequests(5, 5));
        assertEquals(first, host.serveRequests(5, 10));
    }

    @Test
    void permutationsAreEquallyLikely() {
        Map<List<Long>, Integer> counts = new HashMap<>();
        for (int seed = 0; seed < 6_000; seed++) {
            RecordingHost host = new RecordingHost(settings(IDEMPOTENT), seed).withEndpoints(3);
            counts.merge(host.serveRequests(3, 0), 1, Integer::sum);
        }
        assertEquals(6, counts.size());
        // Each is expected 1000 times; 150 is more than five standard deviations.
        counts.values().forEach(count -> assertTrue(Math.abs(count - 1_000) < 150, counts.toString()));
    }

    @Test
    void lessBusyOfTwoNeighborsIsPicked() {
        RecordingHost host = host(IDEMPOTENT).withEndpoints(3);
        List<Long> order = host.serveRequests(3, 0);
        host.request(10, 0);
        assertEquals(order.get(0), host.last().endpoint());
        host.request(11, 0);
        host.request(12, 0);
        assertEquals(order.get(2), host.last().endpoint());
        host.outcome(host.attemptsOf(11).get(0), Outcome.OK);
        host.request(13, 0);
        assertEquals(order.get(1), host.last().endpoint(), "the pointed endpoint has one in flight, the next none");
    }

    /** An open stream is no evidence of its endpoint's speed, but counts as in flight until its outcome. */
    @Test
    void openStreamsCountAsInFlightUntilTheyEnd() {
        RequestClass stream = new RequestClass(
                NON_IDEMPOTENT.latencyObjectiveNanos(),
                0,
                NON_IDEMPOTENT.deadlineNanos(),
                1,
                0,
                NON_IDEMPOTENT.idempotency(),
                NON_IDEMPOTENT.keyScope(),
                0,
                true);
        RecordingHost host = host(stream).withEndpoints(2);
        Map<Long, List<RecordingHost.SentAttempt>> open = new HashMap<>();
        for (int i = 0; i < 12; i++) {
            open(host, i, open);
        }
        assertEquals(6, open.get(0L).size(), "half of the streams go to each endpoint");
        open.get(0L).forEach(sent -> host.outcome(sent, Outcome.OK));
        open.clear();
        for (int i = 20; i < 25; i++) {
            open(host, i, open);
        }
        assertEquals(Set.of(0L), open.keySet(), "the endpoint without streams is picked until both have equally many");
    }

    private static void open(RecordingHost host, int id, Map<Long, List<RecordingHost.SentAttempt>> open) {
        host.request(id, 0);
        RecordingHost.SentAttempt sent = host.last();
        host.advance(MS);
        host.policy.responseStarted(host.now, id, 0, sent.endpoint(), MS);
        open.computeIfAbsent(sent.endpoint(), none -> new ArrayList<>()).add(sent);
    }

    @Test
    void permutationIsRedrawnOnlyWhenTheReadySetChanges() {
        RecordingHost host = host(IDEMPOTENT).withEndpoints(8);
        List<Long> before = host.serveRequests(8, 0);
        host.policy.endpointsUpdated(host.now, UpdateKind.DELTA, List.of(endpoint(3)));
        assertEquals(before, host.serveRequests(8, 20));
        host.policy.endpointsUpdated(host.now, UpdateKind.DELTA, List.of(endpoint(3, EndpointStatus.REMOVED, 0)));
        List<Long> after = host.serveRequests(7, 40);
        assertFalse(after.contains(3L));
        before.remove(3L);
        assertNotEquals(before, after, "the permutation is redrawn; with this seed it differs");
    }

    @Test
    void requestIsRejectedAtOnceIfNoEndpointIsReady() {
        RecordingHost host = host(NON_IDEMPOTENT).withEndpoints(0);
        host.request(1, 0);
        assertEquals(List.of("reject 1"), host.answers);
    }

    /** Returns how many requests a fast and a slow machine kind get, given their response times. */
    private static List<Long> turnsOfTwoMachineKinds(long fast, long slow) {
        RecordingHost host = host(IDEMPOTENT);
        host.policy.endpointsUpdated(
                host.now,
                UpdateKind.CACHED,
                List.of(
                        new EndpointInfo(0, 0, 0, 0, EndpointStatus.READY, 1, 0),
                        new EndpointInfo(1, 0, 1, 0, EndpointStatus.READY, 1, 0)));
        for (int i = 0; i < 200; i++) {
            host.request(i, 0);
            host.advance(host.last().endpoint() == 0 ? fast : slow);
            host.outcome(host.last(), Outcome.OK);
        }
        return List.of(host.attemptsTo(0, 100), host.attemptsTo(1, 100));
    }

    @Test
    void slowMachineKindTakesFewerTurnsOnceResponsesNearTheObjective() {
        assertEquals(
                List.of(50L, 50L), turnsOfTwoMachineKinds(20 * MS, 60 * MS), "well within the objective of 500 ms");
        List<Long> turns = turnsOfTwoMachineKinds(100 * MS, 300 * MS);
        assertTrue(
                turns.get(1) >= 5 && turns.get(1) < 25,
                "the slow kind takes fewer than half of the turns, but some: " + turns);
    }
}
