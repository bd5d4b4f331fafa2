package topazvalve.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.policy.RecordingHost.IDEMPOTENT;
import static topazvalve.policy.RecordingHost.MS;
import static topazvalve.policy.RecordingHost.NON_IDEMPOTENT;
import static topazvalve.policy.RecordingHost.host;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests of the ejection of slow and failing endpoints, and of trial requests. */
class OutlierDetectorTest {

    @Test
    void silentEndpointLosesItsTurns() {
        RecordingHost host = host(NON_IDEMPOTENT, IDEMPOTENT).withEndpoints(4);
        host.serve(0, 40, 0, 20 * MS);
        int before = host.attempts.size();
        for (int i = 100; i < 160; i++) {
            host.request(i, 0);
            RecordingHost.SentAttempt sent = host.last();
            host.advance(20 * MS);
            if (sent.endpoint() != 2) {
                host.outcome(sent, Outcome.OK);
            }
        }
        long sentToSilent = host.attemptsTo(2, before);
        assertTrue(sentToSilent <= 4, "silent endpoint got " + sentToSilent + " of 60");
    }

    @Test
    void fastErrorsAttractNoRequests() {
        RecordingHost host = host(NON_IDEMPOTENT, IDEMPOTENT).withEndpoints(4);
        host.serve(0, 40, 0, 20 * MS);
        int before = host.attempts.size();
        for (int i = 100; i < 200; i++) {
            host.request(i, 0);
            RecordingHost.SentAttempt sent = host.last();
            host.advance(sent.endpoint() == 2 ? MS : 20 * MS);
            host.outcome(sent, sent.endpoint() == 2 ? Outcome.ERROR : Outcome.OK);
        }
        long sentToFailing = host.attemptsTo(2, before);
        assertTrue(
                sentToFailing <= 8,
                "failing endpoint got " + sentToFailing + " of 100, more than a third of its equal share");
    }

    @Test
    void slownessOfAllEndpointsEjectsNone() {
        RecordingHost host = host(IDEMPOTENT).withEndpoints(4);
        host.serve(0, 200, 0, 20 * MS);
        host.serve(1_000, 1_100, 0, 80 * MS);
        int before = host.attempts.size();
        host.serve(2_000, 2_040, 0, 80 * MS);
        Map<Long, Integer> turns = new HashMap<>();
        host.attempts.subList(before, before + 40).forEach(sent -> turns.merge(sent.endpoint(), 1, Integer::sum));
        turns.values().forEach(count -> assertEquals(10, count));
        assertTrue(host.answers.isEmpty(), "nothing is rejected: " + host.answers);
    }

    @Test
    void endpointsAreStillTriedIfAllAreUnreachable() {
        RecordingHost host = host(IDEMPOTENT).withEndpoints(2);
        for (int i = 0; i < 4; i++) {
            host.request(i, 0);
            host.outcome(host.last(), Outcome.CONNECT_FAILED);
        }
        int before = host.attempts.size();
        host.request(10, 0);
        assertTrue(host.attempts.size() > before, "if all endpoints are ejected, the ejections are ignored");
    }

    @Test
    void silentAttemptIsNotHedged() {
        RecordingHost host = host(IDEMPOTENT).withEndpoints(4);
        host.serve(0, 80, 0, 20 * MS);
        host.request(100, 0);
        host.advance(300 * MS);
        assertEquals(1, host.attemptsOf(100).size(), "one attempt at a time");
    }

    @Test
    void ejectedEndpointIsTriedAgainWithNonIdempotentRequestsAlone() {
        RecordingHost host = host(NON_IDEMPOTENT).withEndpoints(2);
        host.serve(0, 40, 0, 20 * MS);
        for (int i = 100; i < 1_200; i++) {
            host.request(i, 0);
            RecordingHost.SentAttempt sent = host.last();
            host.advance(20 * MS);
            host.outcome(sent, sent.endpoint() == 1 && i < 200 ? Outcome.ERROR : Outcome.OK);
        }
        assertTrue(
                host.attempts.subList(host.attempts.size() - 20, host.attempts.size()).stream()
                        .anyMatch(sent -> sent.endpoint() == 1),
                "the endpoint gets requests again");
    }

    /** The count reflects the policy's own evidence; reading it has no side effect. */
    @Test
    void ejectedEndpointsAreCounted() {
        RecordingHost host = host(IDEMPOTENT).withEndpoints(3);
        assertEquals(0, host.policy.ejectedCount(host.now));
        host.request(1, 0);
        long ejected = host.last().endpoint();
        host.outcome(host.last(), Outcome.CONNECT_FAILED);
        int before = host.log.size();
        assertEquals(1, host.policy.ejectedCount(host.now));
        assertEquals(before, host.log.size());
        host.outcome(host.last(), Outcome.OK);
        for (int i = 2; host.policy.ejectedCount(host.now) > 0; i++) {
            host.advance(1_000 * MS);
            host.request(i, 0);
            host.outcome(host.last(), Outcome.OK);
            assertTrue(i < 100, "an endpoint that answers again is no longer ejected");
        }
        assertTrue(host.attemptsTo(ejected, 1) > 0);
    }
}
