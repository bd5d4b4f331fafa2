package topazvalve.core.exchange;

import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.time.Scheduler;
import topazvalve.policy.LoadBalancer;

/**
 * The only caller of the policy. It queues events and delivers them one after another on the event loop, so that calls
 * to the policy never nest. After a stall of the loop, events wait until disconnects that happened during the stall
 * have been read, because any decision of the policy may start attempts.
 */
final class PolicyDispatcher {
    /** A call to the policy. */
    interface Event {
        /** Calls {@code policy}; {@code now} is the time of the call in nanoseconds since 1970. */
        void deliver(LoadBalancer policy, long now);
    }

    private static final Logger LOG = LoggerFactory.getLogger("engine");

    private final Scheduler scheduler;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    /** Delivered before {@link #events}. */
    private final ArrayDeque<Event> urgentEvents = new ArrayDeque<>();

    private LoadBalancer policy;
    /** Whether queued events are being delivered, or will be delivered after a stall. */
    private boolean deliveryPending;

    private long exceptionCount;
    /** The part of the scheduler's stalls that the policy knows of, in nanoseconds. */
    private long reportedStallNanos;

    PolicyDispatcher(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Sets the policy that receives the events; called once, before the first event. */
    void setPolicy(LoadBalancer policy) {
        this.policy = policy;
    }

    /** Delivers an event, within this call unless another one is being delivered or the loop has stalled. */
    void dispatch(Event event) {
        events.add(event);
        deliverUnlessPending();
    }

    /**
     * Delivers an event before all others that wait, in order with others of this method: after a stall the policy has
     * to know the endpoint list before it decides anything.
     */
    void dispatchBeforeOthers(Event event) {
        urgentEvents.add(event);
        deliverUnlessPending();
    }

    private void deliverUnlessPending() {
        if (!deliveryPending) {
            deliverOnceCaughtUp();
        }
    }

    private void deliverOnceCaughtUp() {
        deliveryPending = true;
        scheduler.runOnceCaughtUp(this::deliverQueuedEvents);
    }

    private void deliverQueuedEvents() {
        try {
            while (hasEvents() && scheduler.isCaughtUp()) {
                reportStalls();
                deliver(urgentEvents.isEmpty() ? events.poll() : urgentEvents.poll());
            }
        } finally {
            deliveryPending = false;
        }
        if (hasEvents()) {
            deliverOnceCaughtUp();
        }
    }

    private void reportStalls() {
        long newNanos = scheduler.stalledNanos() - reportedStallNanos;
        if (newNanos > 0) {
            reportedStallNanos += newNanos;
            deliver((balancer, now) -> balancer.hostStalled(now, newNanos));
        }
    }

    private boolean hasEvents() {
        return !events.isEmpty() || !urgentEvents.isEmpty();
    }

    private void deliver(Event event) {
        try {
            event.deliver(policy, scheduler.nowNanos());
        } catch (RuntimeException e) {
            recordException(e);
        }
    }

    /** Runs an action that does not call the policy directly; an exception from it is logged and counted. */
    void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            recordException(e);
        }
    }

    /** Logs and counts an exception, which indicates a bug. */
    void recordException(RuntimeException cause) {
        exceptionCount++;
        LOG.error("Failed to handle event", cause);
    }

    /** Returns the number of endpoints that the policy currently has ejected. */
    int ejectedCount() {
        return policy.ejectedCount(scheduler.nowNanos());
    }

    /** Returns how many events have thrown an exception; each one indicates a bug. */
    long exceptionCount() {
        return exceptionCount;
    }
}
