package topazvalve.policy;

import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/** Alarms of the module behind one timer of the host. A queue of times: it decides nothing. */
final class TimerQueue {
    private record Alarm(long at, long serial, LongConsumer what) {}

    private final PriorityQueue<Alarm> queue =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.serial, b.serial));
    private long serials;
    private long timerAt = Long.MAX_VALUE;
    private long timerToken;
    private final LoadBalancer.Actions actions;

    TimerQueue(LoadBalancer.Actions actions) {
        this.actions = actions;
    }

    void schedule(long at, LongConsumer what) {
        queue.add(new Alarm(at, serials++, what));
    }

    void armTimer() {
        if (!queue.isEmpty() && queue.peek().at < timerAt) {
            timerAt = queue.peek().at;
            actions.setTimer(++timerToken, timerAt);
        }
    }

    /** Matched by token, not by time: a coarse host clock may ring early. */
    void fire(long now, long token) {
        if (token == timerToken) {
            timerAt = Long.MAX_VALUE;
        }
        while (!queue.isEmpty() && queue.peek().at <= now) {
            queue.poll().what.accept(now);
        }
    }
}
