package topazvalve.core.endpoint;

import java.net.InetSocketAddress;
import topazvalve.policy.EndpointStatus;

/**
 * An endpoint as a list has it.
 *
 * @param uid identifier that is stable over restarts
 * @param address where the endpoint listens; may be null for one that is removed
 * @param zone name of the zone
 * @param machineKind name of the kind of machine
 * @param cell number of the cell
 * @param status whether the endpoint accepts new requests
 * @param weight weight that the list gives
 * @param startedAtMillis when the process last started, in milliseconds since 1970; 0 for long ago
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
