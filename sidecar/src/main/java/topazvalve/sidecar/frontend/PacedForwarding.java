package topazvalve.sidecar.frontend;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits how many requests of paced connections are forwarded at a time, so that clients at full speed take little of
 * the servers' capacity from others. Confined to its event loop.
 */
final class PacedForwarding {
    private static final int MAX_IN_FLIGHT = 2;

    private final EventLoop loop;
    private final Set<Runnable> waiting = new LinkedHashSet<>();
    private int inFlight;

    PacedForwarding(EventLoop loop) {
        this.loop = loop;
    }

    /** Takes a slot for a request that is forwarded now; returns false if none is free. */
    boolean tryAcquire() {
        if (inFlight >= MAX_IN_FLIGHT || !waiting.isEmpty()) {
            return false;
        }
        inFlight++;
        return true;
    }

    /** Adds an action at the end of the queue; it runs, with a slot taken for it, when one is free. */
    void add(Runnable action) {
        waiting.add(action);
    }

    /** Removes an action from the queue. */
    void remove(Runnable action) {
        waiting.remove(action);
    }

    /** Gives a slot back, because its request has ended. */
    void release() {
        inFlight--;
        loop.execute(this::runNext);
    }

    private void runNext() {
        if (inFlight < MAX_IN_FLIGHT && !waiting.isEmpty()) {
            Runnable next = waiting.iterator().next();
            waiting.remove(next);
            inFlight++;
            next.run();
        }
    }
}
