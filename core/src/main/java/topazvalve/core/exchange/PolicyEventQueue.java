package topazvalve.core.exchange;

import java.util.ArrayDeque;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.time.Scheduler;

/**
 * Events on their way to the decision module, one after the other: it is never entered twice. After a stall
 * they wait until clients that left meanwhile were heard of: whatever the module orders begins attempts.
 */
final class PolicyEventQueue {
    private static final Logger LOG = LoggerFactory.getLogger("engine");
    private final Scheduler time;
    private final ArrayDeque<LongConsumer> events = new ArrayDeque<>();
    private boolean busy;
    private long faults;

    PolicyEventQueue(Scheduler time) {
        this.time = time;
    }

    /** Handles an event with the time of its handling; within this call, unless another is being handled. */
    void add(LongConsumer event) {
        events.add(event);
        if (!busy) {
            busy = true;
            time.runOnceCaughtUp(this::handleAll);
        }
    }

    private void handleAll() {
        try {
            for (LongConsumer next = events.poll(); next != null; next = events.poll()) {
                handle(next);
            }
        } finally {
            busy = false;
        }
    }

    /** Handles one now, out of turn: one that does not reach the module. */
    void handle(LongConsumer event) {
        try {
            event.accept(time.now());
        } catch (RuntimeException e) {
            faults++;
            LOG.error("event not handled", e);
        }
    }

    /** How many could not be handled: each is a fault of this program. */
    long faults() {
        return faults;
    }
}
