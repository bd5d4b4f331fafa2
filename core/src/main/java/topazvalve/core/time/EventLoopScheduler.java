package topazvalve.core.time;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import topazvalve.core.trace.EventTrace;

/**
 * The scheduler of an event loop. With stall detection it notices when the loop has stalled, for example because of
 * a garbage collection or because its thread was not scheduled. During a stall, input from peers stays unread in the
 * sockets.
 */
public final class EventLoopScheduler implements Scheduler {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long HEARTBEAT_INTERVAL_NANOS = 50 * NANOS_PER_MILLI;
    /**
     * Delay of a heartbeat that counts as a stall. An undetected stall is shorter than this plus the heartbeat
     * interval, which is less than the 0.1 s within which a client disconnect has to be noticed.
     */
    private static final long STALL_THRESHOLD_NANOS = 25 * NANOS_PER_MILLI;

    private final long epochOffsetNanos = System.currentTimeMillis() * NANOS_PER_MILLI - System.nanoTime();
    private final EventLoop loop;
    private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
    private final StallStatistics stallStatistics = new StallStatistics();
    private boolean detectsStalls;
    private boolean catchingUp;
    private long lastHeartbeatNanos = System.nanoTime();

    /** Creates a scheduler that does not detect stalls. */
    public EventLoopScheduler(EventLoop loop) {
        this.loop = loop;
    }

    /** Creates a scheduler that detects stalls as long as the loop runs. */
    public static EventLoopScheduler detectingStalls(EventLoop loop) {
        EventLoopScheduler scheduler = new EventLoopScheduler(loop);
        scheduler.detectsStalls = true;
        loop.scheduleWithFixedDelay(
                scheduler::heartbeat, HEARTBEAT_INTERVAL_NANOS, HEARTBEAT_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
        return scheduler;
    }

    /** Returns the stalls that were noticed; empty without stall detection. */
    public StallStatistics stallStatistics() {
        return stallStatistics;
    }

    @Override
    public long nowNanos() {
        return System.nanoTime() + epochOffsetNanos;
    }

    @Override
    public Timer schedule(long delayNanos, Runnable action) {
        Future<?> scheduled = loop.schedule(action, delayNanos, TimeUnit.NANOSECONDS);
        return () -> scheduled.cancel(false);
    }

    /**
     * Runs {@code action} on the loop after its next select, however late that is. By then the loop has read what
     * peers sent before this call and has released the descriptors of closed channels.
     */
    public static void afterNextSelect(EventLoop loop, Runnable action) {
        // An action scheduled from within a task runs after the next select.
        loop.execute(() -> loop.schedule(action, 1, TimeUnit.NANOSECONDS));
    }

    @Override
    public void runOnceCaughtUp(Runnable action) {
        detectStall();
        if (catchingUp) {
            deferred.add(action);
        } else {
            action.run();
        }
    }

    private void heartbeat() {
        detectStall();
        lastHeartbeatNanos = System.nanoTime();
    }

    /**
     * Defers actions for two selects if the loop has stalled: the first select reads pending data, the second an end
     * of stream that follows the data.
     */
    private void detectStall() {
        long silentNanos = System.nanoTime() - lastHeartbeatNanos;
        if (detectsStalls && !catchingUp && silentNanos > HEARTBEAT_INTERVAL_NANOS + STALL_THRESHOLD_NANOS) {
            catchingUp = true;
            stallStatistics.record(silentNanos);
            EventTrace.stalled(silentNanos);
            afterNextSelect(loop, () -> afterNextSelect(loop, this::runDeferredActions));
        }
    }

    private void runDeferredActions() {
        catchingUp = false;
        while (!deferred.isEmpty()) {
            deferred.poll().run();
        }
    }
}
