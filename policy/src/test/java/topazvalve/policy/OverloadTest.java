package topazvalve.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.policy.RecordingHost.MS;
import static topazvalve.policy.RecordingHost.NON_IDEMPOTENT;
import static topazvalve.policy.RecordingHost.settings;
import static topazvalve.policy.RecordingHost.withObjective;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

/** Tests of one of many sidecars when there are more requests, or slower responses, than before. */
class OverloadTest {
    /** If all endpoints become slow at once, the total limit binds long before each endpoint's own limit of two. */
    @Test
    void totalInFlightFallsAsResponsesTakeLonger() {
        for (int seed = 0; seed < 5; seed++) {
            ConstantRateLoad load =
                    new ConstantRateLoad(new RecordingHost(settings(NON_IDEMPOTENT), seed).withEndpoints(20));
            load.run(2, 60, server -> 60 * MS);
            assertEquals(0, load.rejectedCount());
            load.run(2, 60, server -> 400 * MS);
            load.run(2, 60, server -> 400 * MS);
            // Without a limit it would be 24: 60 requests per second, each for 0.4 s.
            assertTrue(load.maxOutstanding() <= 9, "in flight: " + load.maxOutstanding());
        }
    }

    /** A sidecar whose neighbors have failed suddenly has three times the requests. */
    @Test
    void surgeWithinCapacityIsServed() {
        for (int seed = 0; seed < 5; seed++) {
            ConstantRateLoad load =
                    new ConstantRateLoad(new RecordingHost(settings(NON_IDEMPOTENT), seed).withEndpoints(40));
            load.run(2, 50, server -> 60 * MS);
            load.run(2, 150, server -> 60 * MS);
            assertTrue(load.rejectedCount() <= 3, "rejected: " + load.rejectedCount());
        }
    }

    /** After a start, the first responses may take far longer than the objective, unlike those that follow. */
    @Test
    void slowFirstResponsesDoNotRejectAClassForever() {
        for (int seed = 0; seed < 5; seed++) {
            ConstantRateLoad load =
                    new ConstantRateLoad(new RecordingHost(settings(withObjective(200)), seed).withEndpoints(8));
            load.run(2, 20, server -> 900 * MS);
            load.run(3, 60, server -> 20 * MS);
            long before = load.rejectedCount();
            load.run(3, 60, server -> 20 * MS);
            assertEquals(before, load.rejectedCount());
        }
    }

    /** If two thirds of the requests can be served, the class of weight 5 is served before that of weight 2. */
    @Test
    void classOfHighPriorityComesFirstUnderOverload() {
        RequestClass lowPriority = withPriorityWeight(2);
        RequestClass highPriority = withPriorityWeight(5);
        RecordingHost host = new RecordingHost(settings(lowPriority, highPriority), 5).withEndpoints(40);
        PriorityQueue<RecordingHost.SentAttempt> pending =
                new PriorityQueue<>(Comparator.comparingLong(RecordingHost.SentAttempt::at));
        long busyUntil = 0;
        int scheduled = 0;
        long[] received = new long[2];
        long[] served = new long[2];
        for (int i = 0; i < 2_000; i++) {
            host.request(i, i % 2);
            received[i % 2]++;
            // All endpoints share a resource that takes 25 ms per request: it serves 40 of 62 requests per second.
            for (; scheduled < host.attempts.size(); scheduled++) {
                RecordingHost.SentAttempt sent = host.attempts.get(scheduled);
                busyUntil = Math.max(busyUntil, host.now) + 25 * MS;
                pending.add(new RecordingHost.SentAttempt(sent.request(), 0, sent.endpoint(), busyUntil));
            }
            host.advance(16 * MS);
            while (!pending.isEmpty() && pending.peek().at() <= host.now) {
                RecordingHost.SentAttempt done = pending.poll();
                host.policy.attemptCompleted(
                        host.now,
                        new AttemptResult(done.request(), 0, done.endpoint(), Outcome.OK, 0, true),
                        new float[0]);
                served[(int) (done.request() % 2)]++;
            }
        }
        double highPriorityFraction = (double) served[1] / received[1];
        double lowPriorityFraction = (double) served[0] / received[0];
        assertTrue(
                highPriorityFraction > 0.85 && lowPriorityFraction > 0.1,
                "high priority " + highPriorityFraction + ", low priority " + lowPriorityFraction);
        assertTrue(
                highPriorityFraction > 2 * lowPriorityFraction,
                "high priority " + highPriorityFraction + ", low priority " + lowPriorityFraction);
    }

    private static RequestClass withPriorityWeight(double weight) {
        return new RequestClass(
                500 * MS, 0, 1_000 * MS, weight, 0, NON_IDEMPOTENT.idempotency(), NON_IDEMPOTENT.keyScope(), 0, false);
    }
}
