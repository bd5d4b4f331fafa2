package topazvalve.relay;

import java.util.EnumSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The open connections of a relay, in the order in which they were accepted. Subscribers may be closed while they are
 * visited. Used on the event loop only.
 */
final class SubscriberRegistry {
    private static final Set<Subscriber.State> FOLLOWING = EnumSet.of(Subscriber.State.FOLLOWING);
    private static final Set<Subscriber.State> PARKED = EnumSet.of(Subscriber.State.PARKED);
    private static final Set<Subscriber.State> WATCHING =
            EnumSet.of(Subscriber.State.FOLLOWING, Subscriber.State.PARKED);

    private final int maxSubscribers;
    private final Set<Subscriber> subscribers = new LinkedHashSet<>();

    SubscriberRegistry(int maxSubscribers) {
        this.maxSubscribers = maxSubscribers;
    }

    void add(Subscriber subscriber) {
        subscribers.add(subscriber);
    }

    void remove(Subscriber subscriber) {
        subscribers.remove(subscriber);
    }

    int count() {
        return subscribers.size();
    }

    /** Returns how many subscribers have a watch that was answered. */
    long followingCount() {
        return subscribers.stream()
                .filter(subscriber -> FOLLOWING.contains(subscriber.state()))
                .count();
    }

    /** Returns whether more connections are open than the maximum. */
    boolean isOverLimit() {
        return subscribers.size() > maxSubscribers;
    }

    /** Visits every connection. */
    void forEach(Consumer<Subscriber> visitor) {
        List.copyOf(subscribers).forEach(visitor);
    }

    /** Visits the subscribers whose watch was answered. */
    void forEachFollowing(Consumer<Subscriber> visitor) {
        forEachIn(FOLLOWING, visitor);
    }

    /** Visits the subscribers whose watch is parked. */
    void forEachParked(Consumer<Subscriber> visitor) {
        forEachIn(PARKED, visitor);
    }

    /** Visits the subscribers with a watch, answered or not. */
    void forEachWatching(Consumer<Subscriber> visitor) {
        forEachIn(WATCHING, visitor);
    }

    private void forEachIn(Set<Subscriber.State> states, Consumer<Subscriber> visitor) {
        for (Subscriber subscriber : List.copyOf(subscribers)) {
            // A visit may change the state of other subscribers, so each state is checked just before the visit.
            if (states.contains(subscriber.state())) {
                visitor.accept(subscriber);
            }
        }
    }
}
