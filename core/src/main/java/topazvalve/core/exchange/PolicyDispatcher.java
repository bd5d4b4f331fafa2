package topazvalve.core.exchange;

import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.time.Scheduler;
import topazvalve.policy.LoadBalancer;

/**
 * The only caller of the policy. It queues events and handles them one after the other on the event loop, so
 * that the policy is never entered twice. After a stall of the loop, events wait until disconnects that
 * happened meanwhile have been read, because whatever the policy decides may start attempts.
 */
final class PolicyDispatcher {
    /** A call to the policy. */
    interface Event {
        /** Calls {@code policy} with {@code now}, the time of the call in nanoseconds. */
        void deliver(LoadBalancer policy, long now);
    }

    private static final Logger LOG = LoggerFactory.getLogger("engine");

    private final Scheduler scheduler;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private LoadBalancer policy;
    /** Whether queued events are being delivered, or will be once the loop has caught up after a stall. */
    private boolean deliveryPending;

    private long faultCount;

    PolicyDispatcher(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Sets the policy that receives the events; called once, before the first event. */
    void setPolicy(LoadBalancer policy) {
        this.policy = policy;
    }

    /** Delivers an event: within this call, unless another is being delivered or the loop has stalled. */
    void dispatch(Event event) {
        events.add(event);
        if (!deliveryPending) {
            deliveryPending = true;
            scheduler.runOnceCaughtUp(this::deliverQueuedEvents);
        }
    }

    private void deliverQueuedEvents() {
        try {
            for (Event event = events.poll(); event != null; event = events.poll()) {
                deliver(event);
            }
        } finally {
            deliveryPending = false;
        }
    }

    private void deliver(Event event) {
        try {
            event.deliver(policy, scheduler.nowNanos());
        } catch (RuntimeException e) {
            reportFault(e);
        }
    }

    /** Runs an action that does not reach the policy at once; what it throws is logged and counted as a fault. */
    void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            reportFault(e);
        }
    }

    private void reportFault(RuntimeException cause) {
        faultCount++;
        LOG.error("Failed to handle event", cause);
    }

    /** Returns how many endpoints the policy has ejected now. */
    int ejectedCount() {
        return policy.ejectedCount(scheduler.nowNanos());
    }

    /** Returns how many events have thrown; each one is a fault of this program. */
    long faultCount() {
        return faultCount;
    }
}
