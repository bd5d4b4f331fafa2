package topazvalve.discovery.client;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.core.net.Addresses;
import topazvalve.discovery.json.JsonNode;
import topazvalve.discovery.state.VersionVector;
import topazvalve.policy.LoadBalancer.EndpointStatus;

/**
 * A list or a change of it, as discovery writes it.
 *
 * @param versions how far it has come at each source; empty where only {@code rev} is told
 */
public record EndpointUpdate(long revision, boolean fullSnapshot, List<Endpoint> endpoints, VersionVector versions) {
    public static final EndpointUpdate NONE = new EndpointUpdate(0, true, List.of());
    private static final Logger LOG = LoggerFactory.getLogger("discovery");

    /** One of which only its {@code rev} is told. */
    public EndpointUpdate(long revision, boolean fullSnapshot, List<Endpoint> endpoints) {
        this(revision, fullSnapshot, endpoints, VersionVector.NONE);
    }

    /** As it is written; an {@link IllegalArgumentException} for versions that can't be read. */
    public static EndpointUpdate of(JsonNode node) {
        List<Endpoint> targets = new ArrayList<>();
        for (JsonNode each : node.path("targets")) {
            Endpoint target = target(each);
            if (target != null) {
                targets.add(target);
            }
        }
        return new EndpointUpdate(
                node.path("rev").asLong(),
                node.path("all").asBoolean(),
                targets,
                VersionVector.parse(node.path("versions").asText("")));
    }

    /** An entry, or null where it can't be understood. */
    private static Endpoint target(JsonNode node) {
        String uid = node.path("uid").asText("");
        EndpointStatus state = switch (node.path("state").asText()) {
            case "SERVING" -> EndpointStatus.READY;
            case "DRAINING" -> EndpointStatus.DRAINING;
            case "DELETED" -> EndpointStatus.REMOVED;
            default -> null;
        };
        InetSocketAddress endpoint = Addresses.parse(node.path("endpoint").asText(""));
        if (uid.isEmpty() || state == null || (endpoint == null && state != EndpointStatus.REMOVED)) {
            LOG.warn("entry passed over: {}", node);
            return null;
        }
        return new Endpoint(
                uid,
                endpoint,
                node.path("az").asText(""),
                node.path("model").asText(""),
                (int) node.path("pod_group").asLong(),
                state,
                (float) node.path("capacity_hint").asDouble(1),
                node.path("boot_ms").asLong());
    }
}
