package topazvalve.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static topazvalve.policy.RecordingHost.ENDPOINTS_PER_CELL;
import static topazvalve.policy.RecordingHost.IDEMPOTENT;
import static topazvalve.policy.RecordingHost.KEY_FOR_ALL;
import static topazvalve.policy.RecordingHost.KEY_FOR_CELL;
import static topazvalve.policy.RecordingHost.MS;
import static topazvalve.policy.RecordingHost.NON_IDEMPOTENT;
import static topazvalve.policy.RecordingHost.host;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of which requests are retried, at which endpoints and how often. */
class RetryTest {

    @Test
    void nonIdempotentRequestIsRetriedOnlyIfItProvablyNeverRan() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.OK) {
                continue;
            }
            RecordingHost host = host(NON_IDEMPOTENT).withEndpoints(4);
            host.request(1, 0);
            host.outcome(host.last(), outcome);
            assertEquals(outcome.provesNeverRan() ? 2 : 1, host.attempts.size(), outcome.toString());
            if (!outcome.provesNeverRan()) {
                assertEquals(List.of("fail 1"), host.answers);
            }
        }
    }

    @Test
    void requestWithKeyIsRetriedOnlyInItsCellAndWithinTheKeysTtl() {
        RecordingHost host = host(KEY_FOR_CELL).withEndpoints(9);
        host.request(1, 0);
        long cell = host.last().endpoint() / ENDPOINTS_PER_CELL;
        host.outcome(host.last(), Outcome.ERROR);
        assertEquals(2, host.attempts.size());
        assertEquals(cell, host.last().endpoint() / ENDPOINTS_PER_CELL);
        host.now += 699 * MS;
        host.outcome(host.last(), Outcome.ERROR);
        assertEquals(2, host.attempts.size(), "the key expires before a retry could be sent");
        assertEquals(List.of("fail 1"), host.answers);
    }

    @Test
    void requestWithKeyOfScopeAllMayBeRejectedAfterItMayHaveRun() {
        RecordingHost host = host(KEY_FOR_ALL).withEndpoints(1);
        host.request(1, 0);
        host.outcome(host.last(), Outcome.RESET);
        host.advance(1_000 * MS);
        assertEquals(List.of("reject 1"), host.answers);
    }

    @Test
    void requestGetsNoMoreThanTheMaximumOfAttempts() {
        RecordingHost host = host(IDEMPOTENT).withEndpoints(9);
        host.request(1, 0);
        for (int i = 0; i < 5 && host.answers.isEmpty(); i++) {
            host.outcome(host.last(), Outcome.REJECTED);
        }
        assertEquals(3, host.attempts.size());
        assertEquals(List.of("reject 1"), host.answers);
    }
}
