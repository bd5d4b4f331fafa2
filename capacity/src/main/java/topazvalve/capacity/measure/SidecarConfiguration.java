package topazvalve.capacity.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Writes the configuration of a measured sidecar. */
final class SidecarConfiguration {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String LOOPBACK = "127.0.0.1:";
    private static final int UNUSED_PORT = 1;
    private static final long MILLIS = 1_000_000;
    private static final long SECONDS = 1_000_000_000;

    private SidecarConfiguration() {}

    /** Returns the configuration of a sidecar that watches the source at a port. */
    static ObjectNode watching(int sourcePort) {
        return create(sourcePort, "subscribe");
    }

    /** Returns the configuration of a sidecar without a source that knows the servers at these ports. */
    static ObjectNode withKnownServers(List<Integer> serverPorts) {
        ObjectNode configuration = create(UNUSED_PORT, "automatic");
        configuration.set("known", knownList(serverPorts));
        return configuration;
    }

    private static ObjectNode knownList(List<Integer> serverPorts) {
        ObjectNode known = JSON.createObjectNode().put("rev", 1).put("all", true);
        ArrayNode targets = known.putArray("targets");
        for (int i = 0; i < serverPorts.size(); i++) {
            targets.addObject()
                    .put("uid", "s-" + i)
                    .put("endpoint", LOOPBACK + serverPorts.get(i))
                    .put("az", "a")
                    .put("model", "m")
                    .put("pod_group", 0)
                    .put("state", "SERVING")
                    .put("capacity_hint", 1.0)
                    .put("boot_ms", 0);
        }
        return known;
    }

    private static ObjectNode create(int sourcePort, String discovery) {
        ObjectNode root =
                JSON.createObjectNode().put("name", "c0").put("seed", "7").put("discovery", LOOPBACK + sourcePort);
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 96).put("sockets", 1024);
        ObjectNode settings =
                root.putObject("settings").put("discovery", discovery).put("quantum", 0);
        settings.putArray("zones").add("a");
        settings.putArray("kinds").add("m");
        settings.putObject("report").put("how", "silent").putArray("fields");
        settings.putObject("caps")
                .put("mayCancel", true)
                .put("tryLimit", 3)
                .put("connectTimeout", 500 * MILLIS)
                .put("connIdle", 10 * SECONDS)
                .put("retryAfter", true)
                .put("maxRetryAfter", 1 * SECONDS);
        settings.putObject("rules")
                .put("answerSlack", 20 * MILLIS)
                .put("stopSendingWithin", 500 * MILLIS)
                .put("coldShare", 0.4)
                .put("rampTime", 7 * SECONDS)
                .put("overloadFactor", 4.0)
                .put("tipAfter", 1_500 * MILLIS)
                .put("askWithin", 10 * SECONDS);
        settings.putArray("profiles")
                .addObject()
                .put("name", "look-up")
                .put("slo", 1 * SECONDS)
                .put("deadline", 5 * SECONDS)
                .put("semantics", "repeatable");
        return root;
    }
}
