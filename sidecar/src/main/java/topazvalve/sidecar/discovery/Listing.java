package topazvalve.sidecar.discovery;

import java.util.ArrayList;
import java.util.List;
import topazvalve.sidecar.json.Node;

/** A list or a change of it. */
public record Listing(long rev, boolean all, List<Target> targets) {
    public static final Listing NONE = new Listing(0, true, List.of());

    public static Listing of(Node node) {
        List<Target> targets = new ArrayList<>();
        for (Node each : node.path("targets")) {
            Target target = Target.of(each);
            if (target != null) {
                targets.add(target);
            }
        }
        return new Listing(node.path("rev").asLong(), node.path("all").asBoolean(), targets);
    }
}
