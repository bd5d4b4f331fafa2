package topazvalve.simulation.virtual;

import java.util.Arrays;
import topazvalve.simulation.model.Clock;

/**
 * Virtual time: events in order of their time, and of their making where that is the same.
 *
 * <p>What is due soon lies in a wheel of short slices, unsorted; only the slice at hand is a heap, small
 * enough for the processor's cache. What is due later waits in one large heap until the wheel reaches it.
 */
final class VirtualClock implements Clock {
    /** A slice is 2^16 ns, 66 us long; 2^14 of them make a wheel of 1.07 s. */
    private static final int SLICE_BITS = 16;

    private static final int SLICES = 1 << 14;

    private static final class Slice {
        private long[] times = new long[8];
        private long[] serials = new long[8];
        private Runnable[] events = new Runnable[8];
        private int size;

        void add(long time, long serial, Runnable event) {
            if (size == times.length) {
                times = Arrays.copyOf(times, size * 2);
                serials = Arrays.copyOf(serials, size * 2);
                events = Arrays.copyOf(events, size * 2);
            }
            times[size] = time;
            serials[size] = serial;
            events[size++] = event;
        }

        void pourInto(EventHeap heap) {
            for (int i = 0; i < size; i++) {
                heap.add(times[i], serials[i], events[i]);
                events[i] = null;
            }
            size = 0;
        }
    }

    private final Slice[] wheel = new Slice[SLICES];
    private final EventHeap atHand = new EventHeap();
    private final EventHeap far = new EventHeap();
    private int inWheel;
    /** The slice whose events are at hand. */
    private long slice;

    private long serial;
    private long now;
    private long fired;

    VirtualClock(long start) {
        this.now = start;
        this.slice = start >> SLICE_BITS;
        Arrays.setAll(wheel, i -> new Slice());
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
    public void scheduleAt(long time, Runnable event) {
        place(Math.max(time, now), serial++, event);
    }

    private void place(long when, long mine, Runnable event) {
        long due = when >> SLICE_BITS;
        if (due <= slice) {
            atHand.add(when, mine, event);
        } else if (due - slice < SLICES) {
            wheel[(int) (due & SLICES - 1)].add(when, mine, event);
            inWheel++;
        } else {
            far.add(when, mine, event);
        }
    }

    /** Runs all events up to a time, which is then the present. */
    void runUntil(long end) {
        long last = end >> SLICE_BITS;
        while (true) {
            while (!atHand.isEmpty() && atHand.firstTime() <= end) {
                now = atHand.firstTime();
                fired++;
                atHand.removeFirst().run();
            }
            if (!atHand.isEmpty() || slice >= last) {
                break;
            }
            advance(last);
        }
        now = end;
    }

    /** Goes on to the next slice that has events, or to the last one asked for. */
    private void advance(long last) {
        if (inWheel == 0) {
            long next = far.isEmpty() ? last : Math.min(last, far.firstTime() >> SLICE_BITS);
            slice = Math.max(slice + 1, next);
        } else {
            slice++;
        }
        while (!far.isEmpty() && (far.firstTime() >> SLICE_BITS) - slice < SLICES) {
            long when = far.firstTime();
            long mine = far.firstSerial();
            place(when, mine, far.removeFirst());
        }
        Slice present = wheel[(int) (slice & SLICES - 1)];
        inWheel -= present.size;
        present.pourInto(atHand);
    }
}
