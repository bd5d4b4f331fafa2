package topazvalve.sidecar.frontend;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Which connection is closed where there are too many: one that holds a request never is. New ones that have
 * said nothing may hold half of the room, so that a flood of them closes no client that works, and one that
 * comes in the midst of a flood has a while for its first request.
 */
final class EvictionPolicy {
    /** A new connection's request comes at once; one that is silent for longer makes room first. */
    static final long SILENT_TIME = 100_000_000;

    private final int most;

    /** For so many connections; those with requests may be more. */
    EvictionPolicy(int most) {
        this.most = most;
    }

    int most() {
        return most;
    }

    /** How many connections hold a request, or a part of one. */
    static int requests(Collection<ClientConnection> connections) {
        int requests = 0;
        for (ClientConnection each : connections) {
            requests += each.stage().compareTo(ConnectionState.READING) >= 0 || each.busy() ? 1 : 0;
        }
        return requests;
    }

    /**
     * The {@code count} connections that are missed least, or fewer. Only those are looked at whose stage
     * began before {@code heardUntil}: what they sent until then has been read.
     */
    List<ClientConnection> leastMissed(Collection<ClientConnection> connections, int count, long now, long heardUntil) {
        ArrayDeque<ClientConnection> turnedAway = new ArrayDeque<>();
        ArrayDeque<ClientConnection> silent = new ArrayDeque<>();
        ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
        ArrayDeque<ClientConnection> stalled = new ArrayDeque<>();
        List<ClientConnection> all = new ArrayList<>(connections);
        // Less is earlier, also where the clock's numbers wrap around.
        all.sort((one, other) -> Long.signum(one.since() - other.since()));
        int silentCount = 0;
        for (ClientConnection each : all) {
            silentCount += each.stage() == ConnectionState.NEW ? 1 : 0;
            if (each.since() - heardUntil > 0 || each.busy()) {
                continue;
            }
            switch (each.stage()) {
                case LINGERING -> turnedAway.add(each);
                case NEW -> silent.add(each);
                case IDLE -> idle.add(each);
                case READING -> stalled.add(each);
                default -> {}
            }
        }
        List<ClientConnection> least = new ArrayList<>(count);
        while (least.size() < count) {
            ArrayDeque<ClientConnection> from = !turnedAway.isEmpty()
                    ? turnedAway
                    : isDue(silent, now) || (silentCount > most / 2 && !silent.isEmpty())
                            ? silent
                            : !idle.isEmpty()
                                    ? idle
                                    : !silent.isEmpty() ? silent : isDue(stalled, now) ? stalled : null;
            if (from == null) {
                break;
            }
            least.add(from.poll());
            silentCount -= from == silent ? 1 : 0;
        }
        return least;
    }

    private static boolean isDue(ArrayDeque<ClientConnection> oldestFirst, long now) {
        return !oldestFirst.isEmpty() && now - oldestFirst.peek().since() > SILENT_TIME;
    }
}
