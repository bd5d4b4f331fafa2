package topazvalve.simulation.virtual;

import java.util.Arrays;
import java.util.function.Consumer;
import topazvalve.simulation.model.Clock;

/**
 * Things that are all due after the same delay: a ring in place of a place in the clock's heap for each. What
 * is taken off in time leaves an empty slot, so that nothing long gone is touched again.
 */
final class DelayLine<T> {
    private final Clock clock;
    private final long delay;
    private final Consumer<T> due;
    private long[] times = new long[64];
    private Object[] things = new Object[64];
    /** Numbers of the first thing and of the one after the last; each one's slot is its number's low bits. */
    private long first;

    private long next;
    private boolean scheduled;

    DelayLine(Clock clock, long delay, Consumer<T> due) {
        this.clock = clock;
        this.delay = delay;
        this.due = due;
    }

    /** Adds a thing; the number returned takes it off again. */
    long add(T thing) {
        if (next - first == things.length) {
            grow();
        }
        int slot = slot(next);
        times[slot] = clock.now() + delay;
        things[slot] = thing;
        long number = next++;
        schedule();
        return number;
    }

    /** Takes a thing off; without effect once it was due. */
    void remove(long number) {
        if (number >= first) {
            things[slot(number)] = null;
        }
    }

    private int slot(long number) {
        return (int) (number & things.length - 1);
    }

    private void grow() {
        long[] oldTimes = times;
        Object[] oldThings = things;
        times = Arrays.copyOf(times, times.length * 2);
        things = new Object[oldThings.length * 2];
        for (long each = first; each < next; each++) {
            int old = (int) (each & oldThings.length - 1);
            times[slot(each)] = oldTimes[old];
            things[slot(each)] = oldThings[old];
        }
    }

    private void schedule() {
        if (!scheduled && first < next) {
            scheduled = true;
            clock.scheduleAt(times[slot(first)], this::fire);
        }
    }

    @SuppressWarnings("unchecked")
    private void fire() {
        scheduled = false;
        while (first < next && (things[slot(first)] == null || times[slot(first)] <= clock.now())) {
            int slot = slot(first++);
            T thing = (T) things[slot];
            things[slot] = null;
            if (thing != null) {
                due.accept(thing);
            }
        }
        schedule();
    }
}
