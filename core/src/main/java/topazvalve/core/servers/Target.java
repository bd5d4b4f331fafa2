package topazvalve.core.servers;

import java.net.InetSocketAddress;
import topazvalve.decisions.Balancer.State;

/**
 * One line of a list of servers.
 *
 * @param uid stable over restarts
 * @param endpoint may be null for one that is gone
 * @param startedMs when it last started, milliseconds since 1970; 0 for long ago
 */
public record Target(
        String uid,
        InetSocketAddress endpoint,
        String zone,
        String kind,
        int cell,
        State state,
        float weight,
        long startedMs) {}
