package topazvalve.simulation.virtual;

import java.util.Arrays;
import java.util.function.Consumer;
import topazvalve.simulation.model.Clock;

/**
 * A queue of items that all become due after the same delay, in a ring buffer. Only the first item has an event on the
 * clock. An item that is removed before it is due leaves an empty slot.
 */
final class FixedDelayQueue<T> {
    /** A power of two, like all sizes that the buffer grows to. */
    private static final int INITIAL_SIZE = 64;

    private final Clock clock;
    private final long delayNanos;
    private final Consumer<T> onDue;
    private long[] dueTimes = new long[INITIAL_SIZE];
    private Object[] items = new Object[INITIAL_SIZE];
    /** The number of the first item. The low bits of an item's number are its slot. */
    private long first;
    /** The number of the next item that is added. */
    private long next;

    private boolean scheduled;

    /**
     * Creates an empty queue.
     *
     * @param onDue is called with each item when it is due
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

    /** Removes an item; ignored if the item was already due. */
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

    @SuppressWarnings("unchecked") // Java has no generic arrays; only items of type T are added
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
