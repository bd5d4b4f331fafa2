package topazvalve.world.virtual;

import java.util.Arrays;
import topazvalve.world.model.Clock;

/** Virtual time: events in order of their time, and of their making where that is the same. A binary heap. */
final class VirtualClock implements Clock {
    private long[] times = new long[1024];
    private long[] serials = new long[1024];
    private Runnable[] events = new Runnable[1024];
    private int size;
    private long serial;
    private long now;
    private long fired;

    VirtualClock(long start) {
        this.now = start;
    }

    @Override
    public long now() {
        return now;
    }

    /** How many events have been. */
    long fired() {
        return fired;
    }

    @Override
    public void at(long time, Runnable event) {
        if (size == times.length) {
            times = Arrays.copyOf(times, size * 2);
            serials = Arrays.copyOf(serials, size * 2);
            events = Arrays.copyOf(events, size * 2);
        }
        long when = Math.max(time, now);
        long mine = serial++;
        int at = size++;
        while (at > 0) {
            int up = (at - 1) >>> 1;
            if (times[up] < when || times[up] == when && serials[up] < mine) {
                break;
            }
            move(up, at);
            at = up;
        }
        set(at, when, mine, event);
    }

    private void move(int from, int to) {
        set(to, times[from], serials[from], events[from]);
    }

    private void set(int at, long time, long mine, Runnable event) {
        times[at] = time;
        serials[at] = mine;
        events[at] = event;
    }

    /** Runs all events up to a time, which is then the present. */
    void runUntil(long end) {
        while (size > 0 && times[0] <= end) {
            now = times[0];
            Runnable event = events[0];
            removeFirst();
            fired++;
            event.run();
        }
        now = end;
    }

    private void removeFirst() {
        size--;
        long when = times[size];
        long mine = serials[size];
        Runnable event = events[size];
        events[size] = null;
        int at = 0;
        while (true) {
            int down = 2 * at + 1;
            if (down >= size) {
                break;
            }
            int right = down + 1;
            if (right < size && (times[right] < times[down]
                    || times[right] == times[down] && serials[right] < serials[down])) {
                down = right;
            }
            if (when < times[down] || when == times[down] && mine < serials[down]) {
                break;
            }
            move(down, at);
            at = down;
        }
        if (size > 0) {
            set(at, when, mine, event);
        }
    }
}
