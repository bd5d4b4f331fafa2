package topazvalve.tcp;

import java.net.InetAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import topazvalve.tcp.StreamCounters.RejectReason;

/**
 * Decides whether the limits of a listener admit another stream, and keeps track of admitted streams until their
 * client connections are closed. Confined to the event loop.
 */
final class StreamAdmission {
    private final Set<ClientStream> streams = new LinkedHashSet<>();
    private final Map<InetAddress, Integer> streamsPerClient = new HashMap<>();

    /** Returns why a stream of {@code client} must be rejected; empty if it may be admitted. */
    Optional<RejectReason> check(InetAddress client, TcpSettings settings, boolean shuttingDown) {
        if (shuttingDown) {
            return Optional.of(RejectReason.ENDING);
        }
        if (streams.size() >= settings.maxStreams()) {
            return Optional.of(RejectReason.STREAMS_FULL);
        }
        if (streamsPerClient.getOrDefault(client, 0) >= settings.maxStreamsPerClient()) {
            return Optional.of(RejectReason.CLIENT_FULL);
        }
        return Optional.empty();
    }

    /** Adds {@code stream} to the admitted streams. */
    void admit(ClientStream stream) {
        streams.add(stream);
        streamsPerClient.merge(stream.clientAddress(), 1, Integer::sum);
    }

    /** Removes {@code stream} from the admitted streams; returns false if it was not admitted. */
    boolean release(ClientStream stream) {
        if (!streams.remove(stream)) {
            return false;
        }
        streamsPerClient.computeIfPresent(stream.clientAddress(), (client, count) -> count == 1 ? null : count - 1);
        return true;
    }

    /** Returns a copy of the admitted streams, in the order of their admission. */
    List<ClientStream> streams() {
        return List.copyOf(streams);
    }

    /** Returns whether there are no admitted streams. */
    boolean isEmpty() {
        return streams.isEmpty();
    }
}
