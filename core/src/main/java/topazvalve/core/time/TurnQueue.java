package topazvalve.core.time;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Serves connections with much input in turns, each a piece at a time. All turns together use at most a fraction of the
 * processor time that the process may use, so that the event loop, and the processor, stay free for all other
 * connections. Confined to its event loop.
 */
public final class TurnQueue {
    /** A connection that waits for its turn. */
    public interface Member {
        /** Processes a small piece of input; may add itself to the queue again. */
        void takeTurn();
    }

    /** Processor time that turns may use at once after a pause: the longest delay that they cause for others. */
    private static final long MAX_BURST_NANOS = 1_000_000;
    /** Charged for a turn at most: a longer one was held up by something else. */
    private static final long MAX_TURN_NANOS = 1_000_000;

    private static final long PAUSE_NANOS = 1_000_000;

    private final EventLoop loop;
    private final double coreFraction;
    private final Set<Member> waiting = new LinkedHashSet<>();
    private boolean scheduled;
    private double availableNanos = MAX_BURST_NANOS;
    private long updatedAtNanos = System.nanoTime();

    /**
     * Creates an empty queue.
     *
     * @param coreFraction the part of a processor core that turns may use
     */
    public TurnQueue(EventLoop loop, double coreFraction) {
        this.loop = loop;
        this.coreFraction = coreFraction;
    }

    /** Adds a connection at the end, unless it waits already. */
    public void add(Member member) {
        waiting.add(member);
        if (!scheduled) {
            scheduled = true;
            loop.execute(this::run);
        }
    }

    /** Removes a connection. */
    public void remove(Member member) {
        waiting.remove(member);
    }

    /** Charges work of a fixed price and returns true if it may be done now, without a turn. */
    public boolean tryCharge(long nanos) {
        refill();
        if (!waiting.isEmpty() || availableNanos <= 0) {
            return false;
        }
        chargePrice(nanos);
        return true;
    }

    /** Charges work of a fixed price that is done in a turn. */
    public void chargePrice(long nanos) {
        availableNanos -= nanos;
    }

    /** Charges the time of work that was caused by a turn but done outside of it. */
    public void charge(long nanos) {
        availableNanos -= Math.min(nanos, MAX_TURN_NANOS);
    }

    /** Gives each waiting connection one turn, as long as there is processor time left. */
    private void run() {
        refill();
        for (int turns = waiting.size(); turns > 0 && !waiting.isEmpty() && availableNanos > 0; turns--) {
            Member next = waiting.iterator().next();
            waiting.remove(next);
            long startedAtNanos = System.nanoTime();
            next.takeTurn();
            charge(System.nanoTime() - startedAtNanos);
        }
        if (waiting.isEmpty()) {
            scheduled = false;
        } else if (availableNanos > 0) {
            EventLoopScheduler.afterNextSelect(loop, this::run);
        } else {
            loop.schedule(this::run, PAUSE_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    private void refill() {
        long nowNanos = System.nanoTime();
        double added = (nowNanos - updatedAtNanos) * coreFraction;
        availableNanos = Math.min(MAX_BURST_NANOS, availableNanos + added);
        updatedAtNanos = nowNanos;
    }
}
