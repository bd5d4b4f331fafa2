package topazvalve.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.policy.RecordingHost.IDEMPOTENT;
import static topazvalve.policy.RecordingHost.MS;
import static topazvalve.policy.RecordingHost.NON_IDEMPOTENT;
import static topazvalve.policy.RecordingHost.host;
import static topazvalve.policy.RecordingHost.settings;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Load shedding, the queue and tenant quotas. */
class AdmissionControllerTest {

    @Test
    void clientRetriesAreShedMoreReadilyThanFirstRequests() {
        int[] sent = new int[2];
        for (int seed = 0; seed < 100; seed++) {
            RecordingHost host = new RecordingHost(settings(IDEMPOTENT), seed).withEndpoints(40);
            for (int i = 0; i < 8; i++) {
                host.request(i, 0);
                RecordingHost.SentAttempt last = host.last();
                host.advance(i % 2 == 0 ? 10 * MS : 600 * MS);
                host.outcome(last, Outcome.OK);
            }
            int before = host.attempts.size();
            host.policy.requestReceived(host.now, new Request(100, 0, 0, 0, 1_000 * MS, 0, seed % 2 == 1, false));
            sent[seed % 2] += host.attempts.size() - before;
        }
        assertTrue(sent[0] > 15 && sent[1] < sent[0] / 2, "first requests " + sent[0] + ", retries " + sent[1]);
    }

    @Test
    void lateResponsesStartSheddingAndTimelyOnesEndIt() {
        RecordingHost host = host(IDEMPOTENT).withEndpoints(40);
        for (int i = 0; i < 30; i++) {
            host.request(i, 0);
            host.advance(100 * MS);
        }
        host.advance(1_000 * MS);
        host.attempts.forEach(sent -> host.outcome(sent, Outcome.TIMEOUT));
        int before = host.attempts.size();
        host.burst(100, 140, 0);
        assertTrue(host.attempts.size() - before < 8, "no response was in time: " + (host.attempts.size() - before));
        host.advance(30_000 * MS);
        host.serve(200, 300, 0, 20 * MS);
        assertEquals(
                100,
                host.attempts.stream().filter(sent -> sent.request() >= 200).count());
    }

    /** Half of the clients disconnect soon: that says nothing about the endpoints, and the others are served. */
    @Test
    void clientsThatDisconnectEarlyCauseNoShedding() {
        RecordingHost host = host(IDEMPOTENT).withEndpoints(40);
        for (int id = 0; id < 200; id += 2) {
            host.serve(id, id + 1, 0, 20 * MS);
            host.request(id + 1, 0);
            RecordingHost.SentAttempt left = host.last();
            host.advance(100 * MS);
            host.policy.clientDisconnected(host.now, id + 1);
            host.outcome(left, Outcome.CANCELLED);
        }
        assertEquals(200, host.attempts.size());
        assertEquals(List.of(), host.answers);
    }

    /** A client that disconnects after the objective had to wait: it counts like a late response. */
    @Test
    void clientsThatDisconnectLateCauseShedding() {
        RecordingHost host = host(IDEMPOTENT).withEndpoints(40);
        for (int id = 0; id < 30; id++) {
            host.request(id, 0);
        }
        host.advance(600 * MS);
        List.copyOf(host.attempts).forEach(sent -> {
            host.policy.clientDisconnected(host.now, sent.request());
            host.outcome(sent, Outcome.CANCELLED);
        });
        int before = host.attempts.size();
        host.burst(100, 140, 0);
        assertTrue(host.attempts.size() - before < 8, "sent " + (host.attempts.size() - before));
    }

    @Test
    void queuedRequestsAreSentNewestFirst() {
        RecordingHost host = host(NON_IDEMPOTENT).withEndpoints(1);
        host.burst(0, 6, 0);
        int out = host.attempts.size();
        assertTrue(out < 6, "some are queued");
        host.advance(10 * MS);
        host.outcome(host.attempts.get(0), Outcome.OK);
        assertEquals(5, host.attempts.get(out).request());
    }

    /**
     * First requests taken for client retries are rejected at once, and two of three clients retry. The first requests
     * must be recognized again all the same: there are always more of them than retries.
     */
    @Test
    void firstRequestsAreRecognizedAgainAmongClientRetries() {
        RecordingHost host = host(IDEMPOTENT).withEndpoints(5);
        long id = 0;
        for (int i = 0; i < 10; i++) {
            isSent(host, id++, 950 * MS);
        }
        boolean served = false;
        for (int i = 0; i < 300; i++) {
            served = isSent(host, id++, 450 * MS);
            if (!served && i % 3 > 0) {
                isSent(host, id++, 950 * MS);
            }
        }
        assertTrue(served);
    }

    /** Receives a request and answers it after a moment if it was sent; returns whether it was. */
    private static boolean isSent(RecordingHost host, long id, long left) {
        host.request(id, 0, left);
        boolean sent = !host.attemptsOf(id).isEmpty();
        host.advance(MS);
        if (sent) {
            host.outcome(host.last(), Outcome.OK);
        }
        return sent;
    }

    @Test
    void clientRetryThatWouldBeLateIsRejectedAtOnceUnderOverload() {
        RecordingHost host = host(NON_IDEMPOTENT).withEndpoints(1);
        host.burst(0, 6, 0);
        int sent = host.attempts.size();
        host.request(50, 0, 400 * MS);
        assertEquals(List.of("reject 50"), host.answers, "600 ms of an objective of 500 have elapsed");
        assertEquals(sent, host.attempts.size());
    }

    @Test
    void firstRequestsWithLessTimeThanRetriesAreStillFirst() {
        RecordingHost host = host(NON_IDEMPOTENT).withEndpoints(1);
        for (int i = 0; i < 30; i++) {
            host.request(i, 0, i % 3 == 2 ? 900 * MS : 600 * MS);
        }
        int answered = host.answers.size();
        host.request(50, 0, 600 * MS);
        assertEquals(answered, host.answers.size(), "600 ms is what first requests have: queued, not answered");
    }

    @Test
    void tenantWithTheLeastQuotaUsageGoesFirst() {
        Settings base = settings(NON_IDEMPOTENT);
        RecordingHost host = new RecordingHost(
                        new Settings(
                                0,
                                1,
                                0,
                                5 * MS,
                                DiscoveryMode.AUTOMATIC,
                                WeightKind.SILENT,
                                base.requestClasses(),
                                List.of(new Tenant(0.5, 10), new Tenant(0.5, 10)),
                                base.capabilities(),
                                base.limits(),
                                List.of(),
                                Costs.NONE,
                                false,
                                0.1),
                        7)
                .withEndpoints(1);
        for (int i = 0; i < 4; i++) {
            host.policy.requestReceived(host.now, new Request(i, 0, 0, 0, 1_000 * MS, 0, false, false));
        }
        host.policy.requestReceived(host.now, new Request(10, 0, 1, 0, 1_000 * MS, 0, false, false));
        host.policy.requestReceived(host.now, new Request(11, 0, 0, 0, 1_000 * MS, 0, false, false));
        int out = host.attempts.size();
        host.advance(10 * MS);
        host.outcome(host.attempts.get(0), Outcome.OK);
        assertEquals(10, host.attempts.get(out).request(), "not the newest, but that of the tenant without usage");
    }
}
