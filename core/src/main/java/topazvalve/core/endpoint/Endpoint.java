package topazvalve.core.endpoint;

import java.net.InetSocketAddress;
import topazvalve.policy.EndpointStatus;

/**
 * An entry of an endpoint list.
 *
 * @param uid identifier that is stable across restarts
 * @param address address that the endpoint listens on; may be null if the endpoint is removed
 * @param zone name of the zone
 * @param machineKind name of the machine kind
 * @param cell number of the cell
 * @param status whether the endpoint accepts new requests
 * @param weight relative weight given by the list
 * @param startedAtMillis last start of the process, in milliseconds since 1970; 0 if it started long ago
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
