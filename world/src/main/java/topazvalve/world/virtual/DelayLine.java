package topazvalve.world.virtual;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.Predicate;
import topazvalve.world.model.Clock;

/**
 * Things that are all due after the same delay, so that a queue serves in place of a place in the clock's
 * heap for each. What is of no interest any more when its turn comes costs no event.
 */
final class DelayLine<T> {
    private record Entry<T>(long at, T thing) { }

    private final Clock clock;
    private final long delay;
    private final Predicate<T> over;
    private final Consumer<T> due;
    private final ArrayDeque<Entry<T>> queue = new ArrayDeque<>();
    private boolean scheduled;

    DelayLine(Clock clock, long delay, Predicate<T> over, Consumer<T> due) {
        this.clock = clock;
        this.delay = delay;
        this.over = over;
        this.due = due;
    }

    void add(T thing) {
        queue.add(new Entry<>(clock.now() + delay, thing));
        schedule();
    }

    private void schedule() {
        if (!scheduled && !queue.isEmpty()) {
            scheduled = true;
            clock.at(queue.peek().at, this::fire);
        }
    }

    private void fire() {
        scheduled = false;
        while (!queue.isEmpty() && (queue.peek().at <= clock.now() || over.test(queue.peek().thing))) {
            T thing = queue.poll().thing;
            if (!over.test(thing)) {
                due.accept(thing);
            }
        }
        schedule();
    }
}
