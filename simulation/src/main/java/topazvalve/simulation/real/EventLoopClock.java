package topazvalve.simulation.real;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.model.Clock;

/** A clock with the monotonic time of the system and the timers of an event loop. */
final class EventLoopClock implements Clock {
    /** The clock's initial time. Far from 0, because a server that started at 0 counts as started long ago. */
    private static final long INITIAL_TIME_NANOS = 1_000_000_000_000L;

    private static final long TICK_MILLIS = 10;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EventLoop loop;
    private final long origin = System.nanoTime();
    private long lastTick = now();
    private long secondLastTick = lastTick;

    EventLoopClock(EventLoop loop) {
        this.loop = loop;
        loop.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        secondLastTick = lastTick;
        lastTick = now();
    }

    /**
     * Returns the earliest time at which data that is being read now can have arrived: an iteration of the event loop
     * has begun and ended since, however long this process was held up itself.
     */
    long earliestArrival() {
        return secondLastTick;
    }

    @Override
    public long now() {
        return System.nanoTime() - origin + INITIAL_TIME_NANOS;
    }

    @Override
    public void scheduleAt(long time, Runnable event) {
        loop.schedule(event, Math.max(0, time - now()), TimeUnit.NANOSECONDS);
    }

    /** Converts a time of this clock to milliseconds since the Unix epoch; 0 stays 0. */
    long unixMs(long time) {
        return time == 0 ? 0 : System.currentTimeMillis() - (now() - time) / NANOS_PER_MILLI;
    }
}
