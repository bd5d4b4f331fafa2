package topazvalve.simulation.virtual;

import java.util.Arrays;

/** Events in order of their time, and of their making where that is the same: a binary heap in arrays. */
final class EventHeap {
    private long[] times = new long[256];
    private long[] serials = new long[256];
    private Runnable[] events = new Runnable[256];
    private int size;

    boolean isEmpty() {
        return size == 0;
    }

    /** The first event's time; not to be asked of an empty heap. */
    long firstTime() {
        return times[0];
    }

    long firstSerial() {
        return serials[0];
    }

    void add(long when, long serial, Runnable event) {
        if (size == times.length) {
            times = Arrays.copyOf(times, size * 2);
            serials = Arrays.copyOf(serials, size * 2);
            events = Arrays.copyOf(events, size * 2);
        }
        int at = size++;
        while (at > 0) {
            int up = (at - 1) >>> 1;
            if (times[up] < when || (times[up] == when && serials[up] < serial)) {
                break;
            }
            set(at, times[up], serials[up], events[up]);
            at = up;
        }
        set(at, when, serial, event);
    }

    private void set(int at, long time, long serial, Runnable event) {
        times[at] = time;
        serials[at] = serial;
        events[at] = event;
    }

    Runnable removeFirst() {
        Runnable first = events[0];
        size--;
        long when = times[size];
        long serial = serials[size];
        Runnable event = events[size];
        events[size] = null;
        int at = 0;
        while (true) {
            int down = 2 * at + 1;
            if (down >= size) {
                break;
            }
            int right = down + 1;
            if (right < size
                    && (times[right] < times[down]
                            || (times[right] == times[down] && serials[right] < serials[down]))) {
                down = right;
            }
            if (when < times[down] || (when == times[down] && serial < serials[down])) {
                break;
            }
            set(at, times[down], serials[down], events[down]);
            at = down;
        }
        if (size > 0) {
            set(at, when, serial, event);
        }
        return first;
    }
}
