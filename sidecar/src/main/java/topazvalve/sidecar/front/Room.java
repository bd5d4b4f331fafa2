package topazvalve.sidecar.front;

import java.util.Collection;

/**
 * Which connection is closed where there are too many: one that holds a request never is. New ones that have
 * said nothing may hold half of the room, so that a flood of them closes no client that works, and one that
 * comes in the midst of a flood has a while for its first request.
 */
final class Room {
    /** A new connection's request comes at once; one that is silent for longer makes room first. */
    static final long SILENT_TIME = 100_000_000;

    private final int most;

    /** For so many connections; those with requests may be more. */
    Room(int most) {
        this.most = most;
    }

    int most() {
        return most;
    }

    /** How many connections hold a request, or a part of one. */
    static int requests(Collection<ClientConnection> connections) {
        int requests = 0;
        for (ClientConnection each : connections) {
            requests += each.stage().compareTo(Stage.READING) >= 0 || each.busy() ? 1 : 0;
        }
        return requests;
    }

    /**
     * The connection that is missed least, or null. Only those are looked at whose stage began before
     * {@code heardUntil}: what they sent until then has been read.
     */
    ClientConnection leastMissed(Collection<ClientConnection> connections, long now, long heardUntil) {
        ClientConnection turnedAway = null;
        ClientConnection silent = null;
        ClientConnection idle = null;
        ClientConnection stalled = null;
        int silentCount = 0;
        for (ClientConnection each : connections) {
            silentCount += each.stage() == Stage.NEW ? 1 : 0;
            if (each.since() - heardUntil > 0 || each.busy()) {
                continue;
            }
            switch (each.stage()) {
                case LINGERING -> turnedAway = longer(turnedAway, each);
                case NEW -> silent = longer(silent, each);
                case IDLE -> idle = longer(idle, each);
                case READING -> stalled = longer(stalled, each);
                default -> { }
            }
        }
        if (turnedAway != null) {
            return turnedAway;
        }
        if (silent != null
                && (now - silent.since() > SILENT_TIME || silentCount > most / 2 || idle == null)) {
            return silent;
        }
        return idle != null ? idle
                : stalled != null && now - stalled.since() > SILENT_TIME ? stalled : null;
    }

    private static ClientConnection longer(ClientConnection one, ClientConnection other) {
        return one == null || other.since() - one.since() < 0 ? other : one;
    }
}
