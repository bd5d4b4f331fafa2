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

/** Tests of load shedding, the queue and tenant quotas. */
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
        assertTrue(
                host.attempts.size() - before < 8,
                "requests sent after all earlier ones had timed out: " + (host.attempts.size() - before));
        host.advance(30_000 * MS);
        host.serve(200, 300, 0, 20 * MS);
        assertEquals(
                100,
                host.attempts.stream().filter(sent -> sent.request() >= 200).count());
    }

    /**
     * A client that disconnects before the latency objective has passed is no evidence of slow endpoints, so no request
     * is rejected.
     */
    @Test
    void clientsThatDisconnectEarlyCauseNoShedding() {
        RecordingHost host = host(IDEMPOTENT).withEndpoints(40);
        for (int id = 0; id < 200; id += 2) {
            host.serve(id, id + 1, 0, 20 * MS);
            host.request(id + 1, 0);
            RecordingHost.SentAttempt abandoned = host.last();
            host.advance(100 * MS);
            host.policy.clientDisconnected(host.now, id + 1);
            host.outcome(abandoned, Outcome.CANCELLED);
        }
        assertEquals(200, host.attempts.size());
        assertEquals(List.of(), host.answers);
    }

    /** A request whose client disconnects once the latency objective has passed counts as one with a late response. */
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
        int sentBefore = host.attempts.size();
        assertTrue(sentBefore < 6, "some requests are queued");
        host.advance(10 * MS);
        host.outcome(host.attempts.get(0), Outcome.OK);
        assertEquals(5, host.attempts.get(sentBefore).request());
    }

    /**
     * The first ten requests make a time left of 950 ms the mark of first requests. First requests with 450 ms left
     * then look like late client retries and are rejected at once, and two of three of their clients retry with 950 ms
     * left. Since there are more first requests than retries, 450 ms must become the mark, and first requests must be
     * sent.
     */
    @Test
    void firstRequestsMistakenForClientRetriesAreEventuallySent() {
        RecordingHost host = host(IDEMPOTENT).withEndpoints(5);
        long id = 0;
        for (int i = 0; i < 10; i++) {
            receiveAndAnswer(host, id++, 950 * MS);
        }
        boolean latestFirstRequestSent = false;
        for (int i = 0; i < 300; i++) {
            latestFirstRequestSent = receiveAndAnswer(host, id++, 450 * MS);
            if (!latestFirstRequestSent && i % 3 > 0) {
                receiveAndAnswer(host, id++, 950 * MS);
            }
        }
        assertTrue(latestFirstRequestSent);
    }

    /** Receives a request and, if it is sent, answers it after 1 ms; returns whether it was sent. */
    private static boolean receiveAndAnswer(RecordingHost host, long id, long timeLeft) {
        host.request(id, 0, timeLeft);
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
        assertEquals(
                List.of("reject 50"),
                host.answers,
                "400 ms of 1,000 ms left: 600 ms have elapsed, and the objective is 500 ms");
        assertEquals(sent, host.attempts.size());
    }

    @Test
    void mostCommonTimeLeftIdentifiesFirstRequestsEvenIfRetriesHaveMoreTimeLeft() {
        RecordingHost host = host(NON_IDEMPOTENT).withEndpoints(1);
        for (int i = 0; i < 30; i++) {
            host.request(i, 0, i % 3 == 2 ? 900 * MS : 600 * MS);
        }
        int answered = host.answers.size();
        host.request(50, 0, 600 * MS);
        assertEquals(
                answered,
                host.answers.size(),
                "600 ms is the most common time left, so this is a first request: queued, not rejected");
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
        int sentBefore = host.attempts.size();
        host.advance(10 * MS);
        host.outcome(host.attempts.get(0), Outcome.OK);
        assertEquals(
                10,
                host.attempts.get(sentBefore).request(),
                "not the newest request, but that of the tenant without usage");
    }
}
