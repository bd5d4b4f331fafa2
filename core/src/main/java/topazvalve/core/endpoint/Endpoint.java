package topazvalve.core.endpoint;

import java.net.InetSocketAddress;
import topazvalve.policy.LoadBalancer.EndpointStatus;

/**
 * One line of a list of servers.
 *
 * @param uid stable over restarts
 * @param address may be null for one that is gone
 * @param startedAtMillis when it last started, milliseconds since 1970; 0 for long ago
 */
public record Endpoint(
        String uid,
        InetSocketAddress address,
        String zone,
        String machineKind,
        int cell,
        EndpointStatus status,
        float weight,
        long startedAtMillis) {}
