package topazvalve.sidecar.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.net.Addresses;
import topazvalve.core.servers.Target;
import topazvalve.decisions.Balancer.State;
import topazvalve.lists.Versions;
import topazvalve.sidecar.json.Node;

/**
 * A list or a change of it, as discovery writes it.
 *
 * @param versions how far it has come at each source; empty where only {@code rev} is told
 */
public record Listing(long rev, boolean all, List<Target> targets, Versions versions) {
    public static final Listing NONE = new Listing(0, true, List.of());
    private static final Logger LOG = LoggerFactory.getLogger("discovery");

    /** One of which only its {@code rev} is told. */
    public Listing(long rev, boolean all, List<Target> targets) {
        this(rev, all, targets, Versions.NONE);
    }

    /** As it is written; an {@link IllegalArgumentException} for versions that can't be read. */
    public static Listing of(Node node) {
        List<Target> targets = new ArrayList<>();
        for (Node each : node.path("targets")) {
            Target target = target(each);
            if (target != null) {
                targets.add(target);
            }
        }
        return new Listing(
                node.path("rev").asLong(),
                node.path("all").asBoolean(),
                targets,
                Versions.parse(node.path("versions").asText("")));
    }

    /** An entry, or null where it can't be understood. */
    private static Target target(Node node) {
        String uid = node.path("uid").asText("");
        State state = switch (node.path("state").asText()) {
            case "SERVING" -> State.READY;
            case "DRAINING" -> State.DRAINING;
            case "DELETED" -> State.GONE;
            default -> null;
        };
        InetSocketAddress endpoint = Addresses.parse(node.path("endpoint").asText(""));
        if (uid.isEmpty() || state == null || (endpoint == null && state != State.GONE)) {
            LOG.warn("entry passed over: {}", node);
            return null;
        }
        return new Target(
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
