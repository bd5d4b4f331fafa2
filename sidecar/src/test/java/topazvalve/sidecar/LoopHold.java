package topazvalve.sidecar;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/**
 * Holds the event loop of a sidecar at a step that the trace reports, so that a test can let something happen before
 * the loop reads its sockets again. The loop handles the step's remaining work, then stands still until
 * {@link #release}.
 */
final class LoopHold implements AutoCloseable {
    private static final Logger TRACE = Logger.getLogger("trace");
    /** Longer than the longest wait for a connection's rest, so that the timer of this wait is due. */
    private static final long TIMERS_DUE_MILLIS = 60;

    private final SidecarFixture sidecar;
    private final CountDownLatch held = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final Handler handler = new StepHandler();
    private final String request;
    private final String step;
    private final Place place;
    private final long minMillis;
    private boolean triggered;

    private enum Place {
        WITHIN_STEP,
        BEFORE_NEXT_READ,
        BEFORE_TIMERS
    }

    private final class StepHandler extends Handler {
        private final SimpleFormatter formatter = new SimpleFormatter();

        @Override
        public void publish(LogRecord line) {
            String text = formatter.formatMessage(line);
            if (!triggered && text.startsWith("request " + request + ":") && text.contains(step)) {
                triggered = true;
                begin();
            }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }

    private LoopHold(SidecarFixture sidecar, String request, String step, Place place, long minMillis) {
        this.sidecar = sidecar;
        this.request = request;
        this.step = step;
        this.place = place;
        this.minMillis = minMillis;
        TRACE.addHandler(handler);
        TRACE.setLevel(Level.FINE);
    }

    /** Holds the loop after the step, before it reads again; {@code minMillis} is the shortest time. */
    static LoopHold beforeNextRead(SidecarFixture sidecar, String request, String step, long minMillis) {
        return new LoopHold(sidecar, request, step, Place.BEFORE_NEXT_READ, minMillis);
    }

    /**
     * Holds the loop after the step so that the timers due within 60 ms of the step run before it reads again, as they
     * do if a signal has interrupted the wait for input.
     */
    static LoopHold beforeTimers(SidecarFixture sidecar, String request, String step, long minMillis) {
        return new LoopHold(sidecar, request, step, Place.BEFORE_TIMERS, minMillis);
    }

    /** Holds the loop in the middle of the step. */
    static LoopHold within(SidecarFixture sidecar, String request, String step, long minMillis) {
        return new LoopHold(sidecar, request, step, Place.WITHIN_STEP, minMillis);
    }

    private void begin() {
        switch (place) {
            case BEFORE_TIMERS -> sidecar.loop.schedule(this::holdUntilTimersAreDue, 0, TimeUnit.NANOSECONDS);
            case BEFORE_NEXT_READ -> sidecar.loop.schedule(this::hold, 0, TimeUnit.NANOSECONDS);
            default -> hold();
        }
    }

    /** The loop fetches due timers after it has read, in the order of their times: the hold is the first of them. */
    private void holdUntilTimersAreDue() {
        sidecar.loop.schedule(this::hold, 0, TimeUnit.NANOSECONDS);
        spinFor(TIMERS_DUE_MILLIS);
    }

    private void hold() {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(minMillis);
        held.countDown();
        try {
            released.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
        spinFor(TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime()) + 1);
    }

    private static void spinFor(long millis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < end) {
            Thread.onSpinWait();
        }
    }

    /** Waits until the loop stands still; returns false if the step did not come. */
    boolean await(long millis) throws InterruptedException {
        return held.await(millis, TimeUnit.MILLISECONDS);
    }

    /** Lets the loop continue once the shortest time is over. */
    void release() {
        released.countDown();
    }

    @Override
    public void close() {
        release();
        TRACE.setLevel(null);
        TRACE.removeHandler(handler);
    }
}
