package topazvalve.simulation.real;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.model.Clock;

/** The system's monotonic time and the timers of an event loop. */
final class LoopClock implements Clock {
    /** The clock's time at the start. Far from 0, since a server that started at 0 counts as started long ago. */
    private static final long START = 1_000_000_000_000L;

    private final EventLoop loop;
    private final long origin = System.nanoTime();

    LoopClock(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public long now() {
        return System.nanoTime() - origin + START;
    }

    @Override
    public void scheduleAt(long time, Runnable event) {
        loop.schedule(event, Math.max(0, time - now()), TimeUnit.NANOSECONDS);
    }

    /** Converts a time of this clock to milliseconds since 1970; 0 stays 0. */
    long unixMs(long time) {
        return time == 0 ? 0 : System.currentTimeMillis() - (now() - time) / 1_000_000;
    }
}
