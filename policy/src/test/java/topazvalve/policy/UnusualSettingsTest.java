package topazvalve.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.policy.RecordingHost.MS;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of hosts without capabilities, a single endpoint, and large or empty endpoint lists. */
class UnusualSettingsTest {

    /** Returns a host that allows no optional action, with the given maximum of attempts. */
    private static RecordingHost hostWithoutCapabilities(int maxAttempts, RequestClass... classes) {
        Capabilities capabilities = new Capabilities(false, false, false, false, false, maxAttempts, 0, 0);
        Limits limits = new Limits(20 * MS, 10_000 * MS, 250 * MS, 1, 0, 1, 0);
        return new RecordingHost(
                new Settings(
                        0,
                        1,
                        0,
                        0,
                        DiscoveryMode.AUTOMATIC,
                        WeightKind.SILENT,
                        List.of(classes),
                        List.of(),
                        capabilities,
                        limits,
                        List.of(),
                        Costs.NONE,
                        true,
                        0),
                5);
    }

    @Test
    void singleEndpointTakesAllRequestsAndIsTriedAgainAfterAFailure() {
        RecordingHost host =
                hostWithoutCapabilities(3, RecordingHost.NON_IDEMPOTENT).withEndpoints(1);
        host.serve(0, 50, 0, 10 * MS);
        assertEquals(50, host.attempts.size());
        host.request(100, 0);
        host.outcome(host.last(), Outcome.CONNECT_FAILED);
        assertEquals(List.of("reject 100"), host.answers, "there is no other endpoint, and the request never ran");
        host.advance(2_000 * MS);
        host.request(101, 0);
        assertEquals(101, host.last().request());
    }

    @Test
    void everyOneOfManyEndpointsGetsItsTurn() {
        RecordingHost host =
                hostWithoutCapabilities(3, RecordingHost.IDEMPOTENT).withEndpoints(500);
        host.serve(0, 500, 0, MS);
        assertEquals(
                500,
                host.attempts.stream()
                        .mapToLong(RecordingHost.SentAttempt::endpoint)
                        .distinct()
                        .count());
    }

    @Test
    void maxAttemptsOfOneMeansNoRetry() {
        RecordingHost host =
                hostWithoutCapabilities(1, RecordingHost.IDEMPOTENT).withEndpoints(3);
        host.request(1, 0);
        host.outcome(host.last(), Outcome.REJECTED);
        assertEquals(1, host.attempts.size());
        assertEquals(List.of("reject 1"), host.answers);
    }

    @Test
    void disallowedActionsAreNeverRequested() {
        RecordingHost host = hostWithoutCapabilities(3, RecordingHost.IDEMPOTENT, RecordingHost.NON_IDEMPOTENT)
                .withEndpoints(2);
        for (int i = 0; i < 40; i++) {
            host.request(i, i % 2);
        }
        host.policy.clientDisconnected(host.now, host.last().request());
        host.advance(3_000 * MS);
        assertTrue(
                host.log.stream().noneMatch(line -> line.matches("(cancel|health-check|gossip|close).*")),
                "the host allows no such action");
        assertTrue(host.log.stream().anyMatch(line -> line.startsWith("reject")));
        assertTrue(host.log.stream().noneMatch(line -> line.matches("reject \\d+ [1-9].*")), "no Retry-After is sent");
    }

    @Test
    void listThatEmptiesAndRefillsServesAgain() {
        RecordingHost host =
                hostWithoutCapabilities(3, RecordingHost.IDEMPOTENT).withEndpoints(4);
        host.serve(0, 20, 0, 10 * MS);
        host.policy.endpointsUpdated(host.now, UpdateKind.FULL, List.of());
        host.request(100, 0);
        assertEquals(List.of("reject 100"), host.answers, "no endpoint is ready");
        host.withEndpoints(4);
        host.request(101, 0);
        assertEquals(101, host.last().request());
    }

    @Test
    void loadReportsOfResponsesDoNotAffectThePick() {
        RecordingHost one = hostWithoutCapabilities(3, RecordingHost.IDEMPOTENT).withEndpoints(5);
        RecordingHost other =
                hostWithoutCapabilities(3, RecordingHost.IDEMPOTENT).withEndpoints(5);
        for (int i = 0; i < 30; i++) {
            one.request(i, 0);
            other.request(i, 0);
            one.advance(MS);
            other.advance(MS);
            RecordingHost.SentAttempt sent = one.last();
            one.policy.attemptCompleted(
                    one.now, new AttemptResult(i, 0, sent.endpoint(), Outcome.OK, MS, true), new float[0]);
            float[] report = {9, -1, 7e9f};
            other.policy.attemptCompleted(
                    other.now, new AttemptResult(i, 0, sent.endpoint(), Outcome.OK, MS, true), report);
        }
        assertEquals(one.log, other.log);
    }

    @Test
    void startedStreamIsNeitherRetriedNorEndedAtTheDeadline() {
        RequestClass stream =
                new RequestClass(500 * MS, 0, 1_000 * MS, 1, 0, Idempotency.IDEMPOTENT, KeyScope.ALL, 0, true);
        RecordingHost host = new RecordingHost(RecordingHost.settings(stream), 3).withEndpoints(3);
        host.request(1, 0);
        RecordingHost.SentAttempt sent = host.last();
        host.advance(100 * MS);
        host.policy.responseStarted(host.now, 1, 0, sent.endpoint(), 100 * MS);
        host.advance(2_000 * MS);
        assertEquals(List.of(), host.answers);
        host.outcome(sent, Outcome.RESET);
        assertEquals(1, host.attempts.size());
        assertEquals(List.of("reject 1"), host.answers, "an idempotent request may be retried by its client");
    }

    @Test
    void nonIdempotentRequestThatMayHaveRunIsNeverRetried() {
        for (Outcome inconclusive : List.of(Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR)) {
            RecordingHost host =
                    hostWithoutCapabilities(3, RecordingHost.NON_IDEMPOTENT).withEndpoints(6);
            host.request(inconclusive.ordinal(), 0);
            host.outcome(host.last(), inconclusive);
            assertEquals(1, host.attemptsOf(inconclusive.ordinal()).size(), inconclusive.name());
        }
    }

    @Test
    void requestIsRejectedIfAllEndpointsDrain() {
        RecordingHost host =
                hostWithoutCapabilities(3, RecordingHost.IDEMPOTENT).withEndpoints(2);
        host.policy.endpointsUpdated(
                host.now,
                UpdateKind.DELTA,
                List.of(
                        RecordingHost.endpoint(0, EndpointStatus.DRAINING, 0),
                        RecordingHost.endpoint(1, EndpointStatus.DRAINING, 0)));
        host.request(1, 0);
        assertEquals(0, host.attempts.size());
        assertEquals(List.of("reject 1"), host.answers);
    }
}
