package topazvalve.simulation.virtual;

import java.util.Arrays;
import topazvalve.simulation.model.Clock;

/**
 * Virtual time. Events run in the order of their times, and in the order of their scheduling where the times are equal.
 *
 * <p>Events that are due soon are in a timing wheel of short slices, unsorted. Only the events of the current slice are
 * in a heap, which is small enough for the processor's cache. Later events are in one large heap until the wheel
 * reaches them.
 */
final class VirtualClock implements Clock {
    /** A slice is 2^16 ns (66 us) long; 2^14 slices make a wheel of 1.07 s. */
    private static final int SLICE_BITS = 16;

    private static final int SLICES = 1 << 14;

    /** The events of one slice of the wheel, unsorted. */
    private static final class Slice {
        private static final int INITIAL_SIZE = 8;

        private long[] times = new long[INITIAL_SIZE];
        private long[] serials = new long[INITIAL_SIZE];
        private Runnable[] events = new Runnable[INITIAL_SIZE];
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

        void moveTo(EventHeap heap) {
            for (int i = 0; i < size; i++) {
                heap.add(times[i], serials[i], events[i]);
                events[i] = null;
            }
            size = 0;
        }
    }

    private final Slice[] wheel = new Slice[SLICES];
    private final EventHeap currentEvents = new EventHeap();
    private final EventHeap farEvents = new EventHeap();
    private int wheelEvents;
    /** The number of the slice whose events are in {@link #currentEvents}. */
    private long currentSlice;

    private long nextSerial;
    private long now;
    private long eventsRun;

    VirtualClock(long start) {
        this.now = start;
        this.currentSlice = start >> SLICE_BITS;
        Arrays.setAll(wheel, i -> new Slice());
    }

    @Override
    public long now() {
        return now;
    }

    /** Returns the number of events that have run. */
    long eventsRun() {
        return eventsRun;
    }

    @Override
    public void scheduleAt(long time, Runnable event) {
        insert(Math.max(time, now), nextSerial++, event);
    }

    private void insert(long time, long serial, Runnable event) {
        long slice = time >> SLICE_BITS;
        if (slice <= currentSlice) {
            currentEvents.add(time, serial, event);
        } else if (slice - currentSlice < SLICES) {
            wheel[(int) (slice & SLICES - 1)].add(time, serial, event);
            wheelEvents++;
        } else {
            farEvents.add(time, serial, event);
        }
    }

    /** Runs all events up to a time (inclusive), which is the current time afterwards. */
    void runUntil(long end) {
        long last = end >> SLICE_BITS;
        while (true) {
            while (!currentEvents.isEmpty() && currentEvents.firstTime() <= end) {
                now = currentEvents.firstTime();
                eventsRun++;
                currentEvents.removeFirst().run();
            }
            if (!currentEvents.isEmpty() || currentSlice >= last) {
                break;
            }
            advance(last);
        }
        now = end;
    }

    /** Advances to the next slice, skipping empty ones if the wheel is empty, but not beyond the last one. */
    private void advance(long last) {
        if (wheelEvents == 0) {
            long next = farEvents.isEmpty() ? last : Math.min(last, farEvents.firstTime() >> SLICE_BITS);
            currentSlice = Math.max(currentSlice + 1, next);
        } else {
            currentSlice++;
        }
        while (!farEvents.isEmpty() && (farEvents.firstTime() >> SLICE_BITS) - currentSlice < SLICES) {
            long time = farEvents.firstTime();
            long serial = farEvents.firstSerial();
            insert(time, serial, farEvents.removeFirst());
        }
        Slice slice = wheel[(int) (currentSlice & SLICES - 1)];
        wheelEvents -= slice.size;
        slice.moveTo(currentEvents);
    }
}
