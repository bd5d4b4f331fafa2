package topazvalve.sidecar.frontend;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Chooses the connections to close when there are too many. A connection that holds a complete request is never chosen.
 * Silent connections, which have sent nothing since their accept, may use half of the capacity before they are evicted
 * ahead of idle ones: a flood of them evicts no active client, and a new client has time for its first request.
 * {@code docs/design/crossings.md} gives the reasons.
 */
final class EvictionPolicy {
    /** A new client sends its request immediately; one that is silent for longer is evicted first. */
    private static final long SILENCE_LIMIT_NANOS = 100_000_000;

    private final int capacity;

    /**
     * Creates a policy.
     *
     * @param capacity maximum number of open connections, exceeded only if more hold requests
     */
    EvictionPolicy(int capacity) {
        this.capacity = capacity;
    }

    /** Returns the maximum number of open connections, which is exceeded only if more hold requests. */
    int capacity() {
        return capacity;
    }

    /** Returns the number of connections that hold a request or a part of one. */
    static int countHoldingRequests(Collection<ClientConnection> connections) {
        int count = 0;
        for (ClientConnection connection : connections) {
            if (connection.state().holdsRequest() || connection.queuesInput()) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns the connections to close, at most {@code count}, in eviction order.
     *
     * @param nowNanos the current {@link System#nanoTime}
     * @param readUntilNanos time until which all input of the clients has been read; connections with a later activity
     *     are not chosen
     */
    List<ClientConnection> chooseEvictions(
            Collection<ClientConnection> connections, int count, long nowNanos, long readUntilNanos) {
        Candidates candidates = new Candidates(connections, readUntilNanos);
        List<ClientConnection> chosen = new ArrayList<>(count);
        while (chosen.size() < count) {
            ClientConnection next = candidates.pollNext(nowNanos, capacity / 2);
            if (next == null) {
                break;
            }
            chosen.add(next);
        }
        return chosen;
    }

    /** The connections that may be evicted, by category; each category is ordered by last activity, oldest first. */
    private static final class Candidates {
        private final ArrayDeque<ClientConnection> lingering = new ArrayDeque<>();
        private final ArrayDeque<ClientConnection> silent = new ArrayDeque<>();
        private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
        private final ArrayDeque<ClientConnection> incomplete = new ArrayDeque<>();
        /** Number of all silent connections, including those that may not be evicted yet. */
        private int silentCount;

        Candidates(Collection<ClientConnection> connections, long readUntilNanos) {
            List<ClientConnection> oldestFirst = new ArrayList<>(connections);
            // Compares by difference, since nanoTime may wrap around.
            oldestFirst.sort((one, other) -> Long.signum(one.lastActivityNanos() - other.lastActivityNanos()));
            for (ClientConnection connection : oldestFirst) {
                if (connection.state() == ConnectionState.NEW) {
                    silentCount++;
                }
                boolean mayHaveUnreadInput = connection.lastActivityNanos() - readUntilNanos > 0;
                if (!mayHaveUnreadInput && !connection.queuesInput()) {
                    addToCategory(connection);
                }
            }
        }

        private void addToCategory(ClientConnection connection) {
            switch (connection.state()) {
                case LINGERING -> lingering.add(connection);
                case NEW -> silent.add(connection);
                case IDLE -> idle.add(connection);
                case READING_REQUEST -> incomplete.add(connection);
                default -> {} // holds a complete request, or is closed
            }
        }

        /** Removes and returns the next connection to evict; null if there is none. */
        ClientConnection pollNext(long nowNanos, int maxSilent) {
            if (!lingering.isEmpty()) {
                return lingering.poll();
            }
            if (isOverdue(silent, nowNanos) || (silentCount > maxSilent && !silent.isEmpty())) {
                return pollSilent();
            }
            if (!idle.isEmpty()) {
                return idle.poll();
            }
            if (!silent.isEmpty()) {
                return pollSilent();
            }
            return isOverdue(incomplete, nowNanos) ? incomplete.poll() : null;
        }

        private ClientConnection pollSilent() {
            silentCount--;
            return silent.poll();
        }

        private static boolean isOverdue(ArrayDeque<ClientConnection> oldestFirst, long nowNanos) {
            return !oldestFirst.isEmpty() && nowNanos - oldestFirst.peek().lastActivityNanos() > SILENCE_LIMIT_NANOS;
        }
    }
}
