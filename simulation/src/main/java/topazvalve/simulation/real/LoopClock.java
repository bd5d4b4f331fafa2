package topazvalve.simulation.real;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.model.Clock;

/** The system's monotonic time, and an event loop's timers. Nanoseconds, from far above 0. */
final class LoopClock implements Clock {
    /** Far from 0, since a server that started at 0 counts as started long ago. */
    private static final long START = 1_000_000_000_000L;

    private final EventLoop loop;
    private final long zero = System.nanoTime();

    LoopClock(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public long now() {
        return System.nanoTime() - zero + START;
    }

    @Override
    public void scheduleAt(long time, Runnable event) {
        loop.schedule(event, Math.max(0, time - now()), TimeUnit.NANOSECONDS);
    }

    /** A time on this clock as milliseconds since 1970. */
    long unixMs(long time) {
        return time == 0 ? 0 : System.currentTimeMillis() - (now() - time) / 1_000_000;
    }
}
