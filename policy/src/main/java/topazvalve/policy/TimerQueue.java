package topazvalve.policy;

import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/** Multiplexes the policy's timers onto one timer of the host; timers due at the same time fire in the order set. */
final class TimerQueue {
    private record Timer(long at, long serial, LongConsumer task) {}

    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.serial, b.serial));
    private final Actions actions;
    private long nextSerial;
    private long armedAt = Long.MAX_VALUE;
    private long armedToken;

    TimerQueue(Actions actions) {
        this.actions = actions;
    }

    void schedule(long at, LongConsumer task) {
        queue.add(new Timer(at, nextSerial++, task));
    }

    /** Sets the host's timer if the first timer is due before the one that is set. */
    void armTimer() {
        if (!queue.isEmpty() && queue.peek().at < armedAt) {
            armedAt = queue.peek().at;
            actions.setTimer(++armedToken, armedAt);
        }
    }

    void fire(long now, long token) {
        if (token == armedToken) { // compared by token: with a coarse clock, the host may fire before the time
            armedAt = Long.MAX_VALUE;
        }
        while (!queue.isEmpty() && queue.peek().at <= now) {
            queue.poll().task.accept(now);
        }
    }
}
