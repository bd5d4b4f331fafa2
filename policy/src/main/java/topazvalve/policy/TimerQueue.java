package topazvalve.policy;

import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/**
 * Multiplexes the policy's timers onto one timer of the host. Timers due at the same time fire in the order in which
 * they were scheduled.
 */
final class TimerQueue {
    private record Timer(long at, long serial, LongConsumer task) {}

    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.serial, b.serial));
    private final Actions actions;
    private long nextSerial;
    private long hostTimerDueAt = Long.MAX_VALUE;
    private long armedToken;

    TimerQueue(Actions actions) {
        this.actions = actions;
    }

    void schedule(long at, LongConsumer task) {
        queue.add(new Timer(at, nextSerial++, task));
    }

    /** Sets the host's timer to the time of the earliest queued timer, unless it is already set to then or earlier. */
    void armTimer() {
        if (!queue.isEmpty() && queue.peek().at < hostTimerDueAt) {
            hostTimerDueAt = queue.peek().at;
            actions.setTimer(++armedToken, hostTimerDueAt);
        }
    }

    void fire(long now, long token) {
        // Compares the token, not the time: with a coarse clock, the host may call this before hostTimerDueAt.
        if (token == armedToken) {
            hostTimerDueAt = Long.MAX_VALUE;
        }
        while (!queue.isEmpty() && queue.peek().at <= now) {
            queue.poll().task.accept(now);
        }
    }
}
