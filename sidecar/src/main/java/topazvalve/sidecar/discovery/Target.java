package topazvalve.sidecar.discovery;

import java.net.InetSocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.decisions.Balancer.State;
import topazvalve.sidecar.json.Node;
import topazvalve.sidecar.net.Addresses;

/** One line of the list; names are still discovery's. */
public record Target(String uid, InetSocketAddress endpoint, String zone, String kind, int cell, State state,
        float weight, long startedMs) {
    private static final Logger LOG = LoggerFactory.getLogger("discovery");

    /** An entry, or null where it can't be understood. */
    static Target of(Node node) {
        String uid = node.path("uid").asText("");
        State state = switch (node.path("state").asText()) {
            case "SERVING" -> State.READY;
            case "DRAINING" -> State.DRAINING;
            case "DELETED" -> State.GONE;
            default -> null;
        };
        InetSocketAddress endpoint = Addresses.parse(node.path("endpoint").asText(""));
        if (uid.isEmpty() || state == null || endpoint == null && state != State.GONE) {
            LOG.warn("entry passed over: {}", node);
            return null;
        }
        return new Target(uid, endpoint, node.path("az").asText(""), node.path("model").asText(""),
                (int) node.path("pod_group").asLong(), state, (float) node.path("capacity_hint").asDouble(1),
                node.path("boot_ms").asLong());
    }
}
