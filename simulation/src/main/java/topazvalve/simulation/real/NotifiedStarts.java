package topazvalve.simulation.real;

import java.util.HashMap;
import java.util.Map;
import topazvalve.simulation.model.EndpointDirectory.Entry;
import topazvalve.simulation.model.OrderServer;

/** The start times of server processes of which each instance has been notified. */
final class NotifiedStarts {
    private record Key(int instance, long server) {}

    private static final long NEVER = -1;

    private final Map<Key, Long> startedAt = new HashMap<>();

    /** Records that an instance has been notified of an endpoint. */
    void notified(int instance, Entry entry) {
        startedAt.put(new Key(instance, entry.server().id()), entry.startedAt());
    }

    /** Returns whether an instance has been notified of the last start of a server. */
    boolean knowsStart(int instance, OrderServer server) {
        return startedAt.getOrDefault(new Key(instance, server.id()), NEVER) >= server.startedAt();
    }
}
