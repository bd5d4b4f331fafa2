package topazvalve.core.time;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * An event loop's time. One that is watched notices when its loop stalled, as in a collection of garbage or
 * where others have the processor: what peers did meanwhile lies unread in the sockets, in no order.
 */
public final class EventLoopScheduler implements Scheduler {
    /** A stall that is not noticed is shorter than both together: less than the 0.1 s that a close has. */
    private static final long BEAT = 50_000_000;

    private static final long LATE = 25_000_000;
    private final long offset = System.currentTimeMillis() * 1_000_000 - System.nanoTime();
    private final EventLoop loop;
    private final ArrayDeque<Runnable> putOff = new ArrayDeque<>();
    private boolean watched;
    private boolean hearing;
    private long beatAt = System.nanoTime();

    public EventLoopScheduler(EventLoop loop) {
        this.loop = loop;
    }

    /** One that notices stalls, for as long as the loop runs. */
    public static EventLoopScheduler detectingStalls(EventLoop loop) {
        EventLoopScheduler time = new EventLoopScheduler(loop);
        time.watched = true;
        loop.scheduleWithFixedDelay(time::beat, BEAT, BEAT, TimeUnit.NANOSECONDS);
        return time;
    }

    @Override
    public long now() {
        return System.nanoTime() + offset;
    }

    @Override
    public Timer schedule(long nanoseconds, Runnable action) {
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

    @Override
    public void runOnceCaughtUp(Runnable action) {
        notice();
        if (hearing) {
            putOff.add(action);
        } else {
            action.run();
        }
    }

    private void beat() {
        notice();
        beatAt = System.nanoTime();
    }

    /** The first look at the sockets reads what was sent, the second an end that lies behind it. */
    private void notice() {
        if (watched && !hearing && System.nanoTime() - beatAt > BEAT + LATE) {
            hearing = true;
            afterNextSelect(loop, () -> afterNextSelect(loop, this::heard));
        }
    }

    private void heard() {
        hearing = false;
        while (!putOff.isEmpty()) {
            putOff.poll().run();
        }
    }
}
