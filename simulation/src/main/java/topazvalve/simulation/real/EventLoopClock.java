package topazvalve.simulation.real;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.model.Clock;

/** A clock with the monotonic time of the system and the timers of an event loop. */
final class EventLoopClock implements Clock {
    /** The clock's initial time. Far from 0, because a server that started at 0 counts as started long ago. */
    private static final long INITIAL_TIME_NANOS = 1_000_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EventLoop loop;
    private final long origin = System.nanoTime();

    EventLoopClock(EventLoop loop) {
        this.loop = loop;
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
