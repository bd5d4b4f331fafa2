package topazvalve.policy;

import static topazvalve.policy.RecordingHost.MS;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.LongUnaryOperator;

/** Sends requests of class 0 to a host at a constant rate. */
final class ConstantRateLoad {
    private static final long ATTEMPT_TIMEOUT = 1_000 * MS;

    final RecordingHost host;
    private final PriorityQueue<PendingOutcome> pending =
            new PriorityQueue<>(Comparator.comparingLong(PendingOutcome::at));
    private int scheduled; // attempts whose outcomes were scheduled
    private long nextId;
    private int maxOutstanding;

    private record PendingOutcome(long at, RecordingHost.SentAttempt sent, Outcome outcome) {}

    ConstantRateLoad(RecordingHost host) {
        this.host = host;
    }

    /**
     * Sends requests; {@code responseTime} maps an endpoint to the nanoseconds after which it responds. With a negative
     * response time it never responds, and its attempts time out.
     */
    void run(int seconds, int perSecond, LongUnaryOperator responseTime) {
        maxOutstanding = 0;
        for (int i = 0; i < seconds * perSecond; i++) {
            host.request(nextId++, 0);
            scheduleOutcomes(responseTime);
            long until = host.now + 1_000 * MS / perSecond;
            while (!pending.isEmpty() && pending.peek().at() <= until) {
                host.advance(Math.max(0, pending.peek().at() - host.now));
                PendingOutcome next = pending.poll();
                host.outcome(next.sent(), next.outcome());
                scheduleOutcomes(responseTime);
            }
            host.advance(until - host.now);
            scheduleOutcomes(responseTime);
        }
    }

    private void scheduleOutcomes(LongUnaryOperator responseTime) {
        while (scheduled < host.attempts.size()) {
            RecordingHost.SentAttempt sent = host.attempts.get(scheduled++);
            long wait = responseTime.applyAsLong(sent.endpoint());
            pending.add(
                    wait < 0
                            ? new PendingOutcome(sent.at() + ATTEMPT_TIMEOUT, sent, Outcome.TIMEOUT)
                            : new PendingOutcome(sent.at() + wait, sent, Outcome.OK));
        }
        maxOutstanding = Math.max(maxOutstanding, pending.size());
    }

    /** Returns the maximum number of attempts in flight during the last run. */
    int maxOutstanding() {
        return maxOutstanding;
    }

    long rejectedCount() {
        return host.answers.stream()
                .filter(answer -> answer.startsWith("reject"))
                .count();
    }
}
