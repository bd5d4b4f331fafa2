package topazvalve.core.time;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** An event loop's time. */
public final class LoopTime implements Time {
    private final EventLoop loop;
    private final long offset = System.currentTimeMillis() * 1_000_000 - System.nanoTime();

    public LoopTime(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public long now() {
        return System.nanoTime() + offset;
    }

    @Override
    public Alarm after(long nanoseconds, Runnable action) {
        Future<?> set = loop.schedule(action, nanoseconds, TimeUnit.NANOSECONDS);
        return () -> set.cancel(false);
    }

    /**
     * Runs this on the loop after its next look at its sockets, however late that is: who has sent something
     * before has been heard by then, and closed channels' descriptors are released in that look.
     */
    public static void afterNextSelect(EventLoop loop, Runnable then) {
        // What is scheduled from within a task runs after the next look.
        loop.execute(() -> loop.schedule(then, 1, TimeUnit.NANOSECONDS));
    }
}
