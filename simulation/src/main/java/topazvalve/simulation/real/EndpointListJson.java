package topazvalve.simulation.real;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import topazvalve.policy.EndpointStatus;
import topazvalve.simulation.model.EndpointDirectory.Entry;
import topazvalve.simulation.model.OrderServer;
import topazvalve.simulation.scenario.Scenario;

/** Converts endpoint lists to the JSON format of discovery. */
final class EndpointListJson {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Scenario scenario;
    private final EventLoopClock clock;
    private final ServerSockets servers;

    EndpointListJson(Scenario scenario, EventLoopClock clock, ServerSockets servers) {
        this.scenario = scenario;
        this.clock = clock;
        this.servers = servers;
    }

    /**
     * Converts entries to an endpoint list.
     *
     * @param full whether this is a full snapshot; otherwise it is a delta
     */
    ObjectNode toJson(List<Entry> entries, long revision, boolean full) {
        ObjectNode root = JSON.createObjectNode().put("rev", revision).put("all", full);
        ArrayNode targets = root.putArray("targets");
        entries.forEach(each -> targets.add(endpointToJson(each)));
        return root;
    }

    private ObjectNode endpointToJson(Entry entry) {
        OrderServer server = entry.server();
        return JSON.createObjectNode()
                .put("uid", "s-" + server.id())
                .put("endpoint", servers.endpoint(server))
                .put("az", scenario.fleet().zones().get(server.pod().zone()))
                .put("model", server.kind().name())
                .put("pod_group", server.pod().number())
                .put("state", stateName(entry.state()))
                .put("capacity_hint", 1.0)
                .put("boot_ms", clock.unixMs(entry.startedAt()));
    }

    private static String stateName(EndpointStatus state) {
        return switch (state) {
            case READY -> "SERVING";
            case DRAINING -> "DRAINING";
            case REMOVED -> "DELETED";
        };
    }
}
