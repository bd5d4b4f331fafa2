package topazvalve.core.pool;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import topazvalve.policy.LoadBalancer.Outcome;

/** One server's connections; the least lately used idle one comes first. */
final class EndpointPool<Q, A> {
    private final ArrayDeque<PooledConnection<Q, A>> idle = new ArrayDeque<>();
    /** Idle ones that an attempt waits for while they rest. */
    private final Set<PooledConnection<Q, A>> reserved = new LinkedHashSet<>();

    private final Set<Attempt<Q, A>> unwritten = new LinkedHashSet<>();
    /** Every connection that is not closed. */
    private final Set<PooledConnection<Q, A>> all = new LinkedHashSet<>();

    private InetSocketAddress address;
    private long startedMs;
    private boolean ready;

    InetSocketAddress address() {
        return address;
    }

    boolean ready() {
        return ready;
    }

    void listed(InetSocketAddress at, long started, boolean takesWork) {
        if (!at.equals(address) || started > startedMs) {
            address = at;
            startedMs = started;
            closeIdle();
        }
        if (takesWork) {
            ready = true;
        } else {
            shut();
        }
    }

    /**
     * The one used last of those that have rested for so many nanoseconds, unless more has come there than
     * was asked for; null if there is none.
     */
    PooledConnection<Q, A> take(long now, long rest) {
        for (PooledConnection<Q, A> each : lastUsedFirst()) {
            if (now - each.idleSince() < rest) {
                continue;
            }
            if (!each.spoilt()) {
                idle.remove(each);
                return each;
            }
            each.close();
        }
        return null;
    }

    private List<PooledConnection<Q, A>> lastUsedFirst() {
        List<PooledConnection<Q, A>> resting = new ArrayList<>(idle.size());
        idle.descendingIterator().forEachRemaining(resting::add);
        return resting;
    }

    /** Takes the one that has rested for longest, though not for long enough; null if there is none. */
    PooledConnection<Q, A> longestRested() {
        PooledConnection<Q, A> first = idle.pollFirst();
        while (first != null && first.spoilt()) {
            first.close();
            first = idle.pollFirst();
        }
        if (first != null) {
            reserved.add(first);
        }
        return first;
    }

    PooledConnection<Q, A> longestIdle() {
        return idle.peekFirst();
    }

    void idles(PooledConnection<Q, A> connection) {
        reserved.remove(connection);
        idle.addLast(connection);
    }

    void opens(PooledConnection<Q, A> connection) {
        all.add(connection);
    }

    void left(PooledConnection<Q, A> connection) {
        all.remove(connection);
        idle.remove(connection);
        reserved.remove(connection);
    }

    /** Counts as not yet written, until {@link #noMore}. */
    void waits(Attempt<Q, A> attempt) {
        unwritten.add(attempt);
    }

    void noMore(Attempt<Q, A> attempt) {
        unwritten.remove(attempt);
    }

    /** Nothing not yet written goes there any more. */
    void shut() {
        ready = false;
        closeIdle();
        for (Attempt<Q, A> attempt : List.copyOf(unwritten)) {
            attempt.complete(Outcome.CONNECT_FAILED);
        }
        List.copyOf(all).forEach(PooledConnection::draining);
    }

    void closeIdle() {
        while (!idle.isEmpty()) {
            idle.pollFirst().close();
        }
        List.copyOf(reserved).forEach(PooledConnection::close);
    }

    void leases(PooledConnection<Q, A> connection) {
        reserved.remove(connection);
    }

    /** Closes those that have idled for longer than so many nanoseconds. */
    void retire(long now, long keepIdle) {
        while (!idle.isEmpty() && now - idle.peekFirst().idleSince() > keepIdle) {
            idle.pollFirst().close();
        }
    }
}
