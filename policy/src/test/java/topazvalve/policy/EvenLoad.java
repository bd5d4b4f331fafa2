package topazvalve.policy;

import static topazvalve.policy.RecordingHost.MS;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.LongUnaryOperator;

/** Sends requests at an even rate; an endpoint answers after some nanoseconds, or never if they are negative. */
final class EvenLoad {
    final RecordingHost host;
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::at));
    private int seen;
    private long nextId;
    private int maxOutstanding;

    private record Due(long at, RecordingHost.SentAttempt sent, Outcome outcome) {}

    EvenLoad(RecordingHost host) {
        this.host = host;
    }

    /** Sends requests; {@code took} says after how many nanoseconds an endpoint answers. */
    void play(int seconds, int perSecond, LongUnaryOperator took) {
        maxOutstanding = 0;
        for (int i = 0; i < seconds * perSecond; i++) {
            host.request(nextId++, 0);
            take(took);
            long until = host.now + 1_000 * MS / perSecond;
            while (!due.isEmpty() && due.peek().at() <= until) {
                host.advance(Math.max(0, due.peek().at() - host.now));
                Due next = due.poll();
                host.outcome(next.sent(), next.outcome());
                take(took);
            }
            host.advance(until - host.now);
            take(took);
        }
    }

    private void take(LongUnaryOperator took) {
        while (seen < host.attempts.size()) {
            RecordingHost.SentAttempt sent = host.attempts.get(seen++);
            long wait = took.applyAsLong(sent.endpoint());
            due.add(
                    wait < 0
                            ? new Due(sent.at() + 1_000 * MS, sent, Outcome.TIMEOUT)
                            : new Due(sent.at() + wait, sent, Outcome.OK));
        }
        maxOutstanding = Math.max(maxOutstanding, due.size());
    }

    /** Returns how many attempts were in flight at most while the last load was played. */
    int maxOutstanding() {
        return maxOutstanding;
    }

    long rejectedCount() {
        return host.answers.stream()
                .filter(answer -> answer.startsWith("reject"))
                .count();
    }
}
