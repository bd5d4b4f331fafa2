package topazvalve.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.policy.RecordingHost.MS;
import static topazvalve.policy.RecordingHost.NON_IDEMPOTENT;
import static topazvalve.policy.RecordingHost.host;

import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that every request is answered once, by its deadline. */
class RequestDeadlineTest {

    @Test
    void timerThatFiresEarlyLosesNoRequest() {
        RecordingHost host = host(NON_IDEMPOTENT).withEndpoints(1);
        host.request(1, 0);
        RecordingHost.Timer timer = host.timers.poll();
        host.now = timer.at() - 30;
        host.policy.timerFired(host.now, timer.token());
        host.advance(2_000 * MS);
        assertEquals(List.of("fail 1"), host.answers);
    }

    @Test
    void queuedRequestsAreAnsweredBeforeTheirDeadline() {
        RecordingHost host = host(NON_IDEMPOTENT).withEndpoints(1);
        host.burst(0, 50, 0);
        host.advance(1_000 * MS);
        assertEquals(50, new HashSet<>(host.answers).size());
        assertEquals(50, host.answers.size());
    }

    @Test
    void requestWithoutTimeLeftIsRejectedAtOnce() {
        RecordingHost host = host(NON_IDEMPOTENT).withEndpoints(3);
        host.request(1, 0, 0);
        assertEquals(List.of("reject 1"), host.answers);
        assertTrue(host.attempts.isEmpty());
    }

    @Test
    void timeoutAtTheDeadlineFailsTheRequestOnce() {
        RecordingHost host = host(NON_IDEMPOTENT).withEndpoints(3);
        host.request(1, 0);
        RecordingHost.SentAttempt sent = host.last();
        host.now += 1_000 * MS;
        host.outcome(sent, Outcome.TIMEOUT);
        host.advance(100 * MS);
        assertEquals(List.of("fail 1"), host.answers);
    }
}
