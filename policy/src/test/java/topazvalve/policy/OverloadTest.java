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

/** One of many sidecars when there are more requests, or slower responses, than before. */
class OverloadTest {
    /** If all endpoints become slow at once, the total limit binds long before each endpoint's own limit of two. */
    @Test
    void totalInFlightFallsAsResponsesTakeLonger() {
        for (int seed = 0; seed < 5; seed++) {
            EvenLoad load = new EvenLoad(new RecordingHost(settings(NON_IDEMPOTENT), seed).withEndpoints(20));
            load.play(2, 60, server -> 60 * MS);
            assertEquals(0, load.rejectedCount());
            load.play(2, 60, server -> 400 * MS);
            load.play(2, 60, server -> 400 * MS);
            // 60 a second for 0.4 s each would be 24.
            assertTrue(load.maxOutstanding() <= 9, "in flight: " + load.maxOutstanding());
        }
    }

    /** A sidecar whose neighbors have failed suddenly has three times the requests. */
    @Test
    void surgeWithinCapacityIsServed() {
        for (int seed = 0; seed < 5; seed++) {
            EvenLoad load = new EvenLoad(new RecordingHost(settings(NON_IDEMPOTENT), seed).withEndpoints(40));
            load.play(2, 50, server -> 60 * MS);
            load.play(2, 150, server -> 60 * MS);
            assertTrue(load.rejectedCount() <= 3, "rejected: " + load.rejectedCount());
        }
    }

    /** After a start the first responses may take far longer than the objective; those that follow don't. */
    @Test
    void slowFirstResponsesDoNotRejectAClassForever() {
        for (int seed = 0; seed < 5; seed++) {
            EvenLoad load = new EvenLoad(new RecordingHost(settings(withObjective(200)), seed).withEndpoints(8));
            load.play(2, 20, server -> 900 * MS);
            load.play(3, 60, server -> 20 * MS);
            long before = load.rejectedCount();
            load.play(3, 60, server -> 20 * MS);
            assertEquals(before, load.rejectedCount());
        }
    }

    /** If two thirds can be served, the class of weight five comes before that of weight two. */
    @Test
    void classOfHighPriorityComesFirstUnderOverload() {
        RequestClass lowPriority = withPriorityWeight(2);
        RequestClass highPriority = withPriorityWeight(5);
        RecordingHost host = new RecordingHost(settings(lowPriority, highPriority), 5).withEndpoints(40);
        PriorityQueue<RecordingHost.SentAttempt> due =
                new PriorityQueue<>(Comparator.comparingLong(RecordingHost.SentAttempt::at));
        long busyUntil = 0;
        int seen = 0;
        long[] probed = new long[2];
        long[] served = new long[2];
        for (int i = 0; i < 2_000; i++) {
            host.request(i, i % 2);
            probed[i % 2]++;
            // All endpoints share a resource that takes 25 ms per request: 40 per second of 62.
            for (; seen < host.attempts.size(); seen++) {
                RecordingHost.SentAttempt sent = host.attempts.get(seen);
                busyUntil = Math.max(busyUntil, host.now) + 25 * MS;
                due.add(new RecordingHost.SentAttempt(sent.request(), 0, sent.endpoint(), busyUntil));
            }
            host.advance(16 * MS);
            while (!due.isEmpty() && due.peek().at() <= host.now) {
                RecordingHost.SentAttempt done = due.poll();
                host.policy.attemptCompleted(
                        host.now,
                        new AttemptResult(done.request(), 0, done.endpoint(), Outcome.OK, 0, true),
                        new float[0]);
                served[(int) (done.request() % 2)]++;
            }
        }
        double highPriorityFraction = (double) served[1] / probed[1];
        double lowPriorityFraction = (double) served[0] / probed[0];
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
