package topazvalve.simulation.virtual;

import java.util.Arrays;
import java.util.function.Consumer;
import topazvalve.simulation.model.Clock;

/**
 * Items that are all due after the same delay, in a ring buffer. Only the first of them has an event in the clock's
 * heap. An item that is removed before it is due leaves an empty slot.
 */
final class FixedDelayQueue<T> {
    /** A power of two, as the sizes that it grows to. */
    private static final int INITIAL_SIZE = 64;

    private final Clock clock;
    private final long delayNanos;
    private final Consumer<T> onDue;
    private long[] dueTimes = new long[INITIAL_SIZE];
    private Object[] items = new Object[INITIAL_SIZE];
    /** The number of the first item; an item's slot is given by the low bits of its number. */
    private long first;
    /** The number of the next item that is added. */
    private long next;

    private boolean scheduled;

    /**
     * Creates an empty queue.
     *
     * @param onDue is called with each item that is due, at its time
     */
    FixedDelayQueue(Clock clock, long delayNanos, Consumer<T> onDue) {
        this.clock = clock;
        this.delayNanos = delayNanos;
        this.onDue = onDue;
    }

    /** Adds an item and returns its number, with which it can be removed. */
    long add(T item) {
        if (next - first == items.length) {
            grow();
        }
        long number = next++;
        int slot = slot(number);
        dueTimes[slot] = clock.now() + delayNanos;
        items[slot] = item;
        scheduleFirst();
        return number;
    }

    /** Removes an item; without effect if it was due already. */
    void remove(long number) {
        if (number >= first) {
            items[slot(number)] = null;
        }
    }

    private int slot(long number) {
        return (int) (number & items.length - 1);
    }

    private void grow() {
        long[] oldTimes = dueTimes;
        Object[] oldItems = items;
        dueTimes = Arrays.copyOf(dueTimes, dueTimes.length * 2);
        items = new Object[oldItems.length * 2];
        for (long number = first; number < next; number++) {
            int oldSlot = (int) (number & oldItems.length - 1);
            dueTimes[slot(number)] = oldTimes[oldSlot];
            items[slot(number)] = oldItems[oldSlot];
        }
    }

    private void scheduleFirst() {
        if (!scheduled && first < next) {
            scheduled = true;
            clock.scheduleAt(dueTimes[slot(first)], this::fire);
        }
    }

    @SuppressWarnings("unchecked") // an array of a type parameter can't be created
    private void fire() {
        scheduled = false;
        while (first < next && (items[slot(first)] == null || dueTimes[slot(first)] <= clock.now())) {
            int slot = slot(first++);
            T item = (T) items[slot];
            items[slot] = null;
            if (item != null) {
                onDue.accept(item);
            }
        }
        scheduleFirst();
    }
}
