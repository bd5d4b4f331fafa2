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
     * Silence that counts as a stall. It is longer than a heartbeat interval, and shorter than the 0.1 s within which a
     * client disconnect has to be noticed.
     */
    private static final long STALL_NANOS = HEARTBEAT_INTERVAL_NANOS + 25 * NANOS_PER_MILLI;
    /** The first iteration after a stall reads pending data, the second an end of stream that follows the data. */
    private static final int CATCH_UP_ITERATIONS = 2;
    /** A loop whose iterations are all as long as a stall is overloaded; it must not wait forever. */
    private static final int MAX_CATCH_UP_ITERATIONS = 8;

    private final long epochOffsetNanos = System.currentTimeMillis() * NANOS_PER_MILLI - System.nanoTime();
    private final EventLoop loop;
    private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
    private final StallStatistics stallStatistics = new StallStatistics();
    private boolean detectsStalls;
    /** Null until the loop runs. */
    private ThreadProcessorTime processorTime;
    /** Whether the loop has stalled and has not read all its sockets since. */
    private boolean catchingUp;
    /** Iterations that have to end without another stall before the loop has caught up. */
    private int iterationsLeft;
    /** Iterations since the catch-up began. */
    private int iterations;
    /** When the stall began that the loop is catching up with, at the earliest. */
    private long stallBeganNanos;

    private long stalledNanos;
    /** When the loop was last known to run without a stall. */
    private long lastAliveNanos = System.nanoTime();

    /** Creates a scheduler that does not detect stalls. */
    public EventLoopScheduler(EventLoop loop) {
        this.loop = loop;
    }

    /** Creates a scheduler that detects stalls as long as the loop runs. */
    public static EventLoopScheduler detectingStalls(EventLoop loop) {
        EventLoopScheduler scheduler = new EventLoopScheduler(loop);
        scheduler.detectsStalls = true;
        loop.execute(scheduler::processorUsage);
        loop.scheduleWithFixedDelay(
                scheduler::observe, HEARTBEAT_INTERVAL_NANOS, HEARTBEAT_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
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
    public boolean isCaughtUp() {
        if (!catchingUp && detectsStalls && System.nanoTime() - lastAliveNanos > STALL_NANOS) {
            observe();
        }
        return !catchingUp;
    }

    @Override
    public long maxInputAgeNanos() {
        return isCaughtUp() ? 0 : System.nanoTime() - stallBeganNanos;
    }

    @Override
    public long stalledNanos() {
        return stalledNanos;
    }

    @Override
    public void runOnceCaughtUp(Runnable action) {
        if (isCaughtUp()) {
            action.run();
        } else {
            deferred.add(action);
        }
    }

    /**
     * Records that the loop runs. If it has stalled before, actions are deferred until it has read its sockets, and a
     * stall while they are deferred begins the count of iterations anew. The time is read once: a stall after that is
     * found by the next observation.
     */
    private void observe() {
        long now = System.nanoTime();
        long silentSinceNanos = lastAliveNanos;
        long silentNanos = now - silentSinceNanos;
        lastAliveNanos = now;
        ThreadProcessorTime.Usage usage = processorUsage();
        if (silentNanos > STALL_NANOS) {
            stalledNanos += silentNanos;
            stallStatistics.record(silentNanos, usage);
            EventTrace.stalled(silentNanos);
            iterationsLeft = CATCH_UP_ITERATIONS;
            if (!catchingUp) {
                catchingUp = true;
                stallBeganNanos = silentSinceNanos;
                iterations = 0;
                afterNextSelect(loop, this::iterationEnded);
            }
        }
    }

    /** Returns what the loop's thread did since the previous observation. */
    private ThreadProcessorTime.Usage processorUsage() {
        if (processorTime == null) {
            processorTime = ThreadProcessorTime.ofThisThread();
        }
        return processorTime.sinceLastReading();
    }

    private void iterationEnded() {
        observe();
        iterations++;
        iterationsLeft--;
        if (iterationsLeft > 0 && iterations < MAX_CATCH_UP_ITERATIONS) {
            afterNextSelect(loop, this::iterationEnded);
            return;
        }
        catchingUp = false;
        runDeferredActions();
    }

    /** Runs the deferred actions in order; those that follow another stall are deferred further. */
    private void runDeferredActions() {
        while (!deferred.isEmpty() && isCaughtUp()) {
            deferred.poll().run();
        }
    }
}
