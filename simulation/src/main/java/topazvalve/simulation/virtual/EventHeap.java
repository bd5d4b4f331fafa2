package topazvalve.simulation.virtual;

import java.util.Arrays;

/** Events ordered by time, and by serial number where the times are equal: a binary heap in parallel arrays. */
final class EventHeap {
    private static final int INITIAL_SIZE = 256;

    private long[] times = new long[INITIAL_SIZE];
    private long[] serials = new long[INITIAL_SIZE];
    private Runnable[] events = new Runnable[INITIAL_SIZE];
    private int size;

    boolean isEmpty() {
        return size == 0;
    }

    /** Returns the first event's time. The heap must not be empty. */
    long firstTime() {
        return times[0];
    }

    /** Returns the first event's serial number. The heap must not be empty. */
    long firstSerial() {
        return serials[0];
    }

    void add(long time, long serial, Runnable event) {
        if (size == times.length) {
            grow();
        }
        int index = size++;
        while (index > 0) {
            int parent = (index - 1) >>> 1;
            if (isBefore(parent, time, serial)) {
                break;
            }
            move(parent, index);
            index = parent;
        }
        set(index, time, serial, event);
    }

    private void grow() {
        times = Arrays.copyOf(times, size * 2);
        serials = Arrays.copyOf(serials, size * 2);
        events = Arrays.copyOf(events, size * 2);
    }

    private boolean isBefore(int index, long time, long serial) {
        return times[index] < time || (times[index] == time && serials[index] < serial);
    }

    private void move(int from, int to) {
        set(to, times[from], serials[from], events[from]);
    }

    private void set(int index, long time, long serial, Runnable event) {
        times[index] = time;
        serials[index] = serial;
        events[index] = event;
    }

    /** Removes the first event and returns it. The heap must not be empty. */
    Runnable removeFirst() {
        Runnable first = events[0];
        size--;
        long time = times[size];
        long serial = serials[size];
        Runnable event = events[size];
        events[size] = null;
        if (size > 0) {
            siftDown(time, serial, event);
        }
        return first;
    }

    /** Replaces the first event by another one, and sifts it down. */
    private void siftDown(long time, long serial, Runnable event) {
        int index = 0;
        int child = firstChild(index);
        while (child < size && isBefore(child, time, serial)) {
            move(child, index);
            index = child;
            child = firstChild(index);
        }
        set(index, time, serial, event);
    }

    /** Returns the child of a node that is due first; at least {@link #size} if the node has none. */
    private int firstChild(int index) {
        int left = 2 * index + 1;
        int right = left + 1;
        return right < size && isBefore(right, times[left], serials[left]) ? right : left;
    }
}
