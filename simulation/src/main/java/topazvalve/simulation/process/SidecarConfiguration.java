package topazvalve.simulation.process;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The configuration of a sidecar on loopback in the JSON format of the platform, with the parts that all sidecars of
 * simulations and measurements share. Capabilities, limits and classes are added to {@link #settings}.
 */
public final class SidecarConfiguration {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String LOOPBACK = "127.0.0.1:";
    private static final double CORES = 1;
    private static final int MEMORY_MB = 96;
    private static final int SOCKETS = 1024;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    /** How the sidecar gets its endpoint list. */
    public enum Discovery {
        /** The sidecar watches a source. */
        SUBSCRIBE,
        /** Lists are pushed to the sidecar, or it keeps its cached list. */
        AUTOMATIC;

        private String settingValue() {
            return this == SUBSCRIBE ? "subscribe" : "automatic";
        }
    }

    private final ObjectNode root = JSON.createObjectNode();
    private final ObjectNode settings;

    /**
     * Creates the configuration of a sidecar that reports no load and has one core, 96 MB and 1,024 sockets.
     *
     * @param source host and port of the source of endpoint lists
     * @param seed the seed of its load balancer, in hexadecimal
     * @param timerGranularityNanos the granularity of its timers; 0 for none
     */
    public SidecarConfiguration(
            String name, String seed, String source, Discovery discovery, long timerGranularityNanos) {
        root.put("name", name).put("discovery", source).put("seed", seed);
        root.putObject("limits").put("cores", CORES).put("memory_mb", MEMORY_MB).put("sockets", SOCKETS);
        settings = root.putObject("settings")
                .put("discovery", discovery.settingValue())
                .put("quantum", timerGranularityNanos);
        settings.putObject("report").put("how", "silent").putArray("fields");
    }

    /** Returns the address of a loopback port in the format of the configuration. */
    public static String loopback(int port) {
        return LOOPBACK + port;
    }

    /** Sets the port that clients connect to. */
    public SidecarConfiguration listenOn(int port) {
        root.put("listen", loopback(port));
        return this;
    }

    /** Sets the port of the admin endpoint. */
    public SidecarConfiguration adminOn(int port) {
        root.put("admin", loopback(port));
        return this;
    }

    /** Sets the names of the zones and machine kinds, in the order of their indices. */
    public SidecarConfiguration zonesAndKinds(List<String> zones, List<String> machineKinds) {
        ArrayNode zoneNames = settings.putArray("zones");
        zones.forEach(zoneNames::add);
        ArrayNode kindNames = settings.putArray("kinds");
        machineKinds.forEach(kindNames::add);
        return this;
    }

    /** Adds what all measurements share: zone a, machine kind m, capabilities, limits and one idempotent class. */
    public SidecarConfiguration withMeasurementSettings() {
        zonesAndKinds(List.of("a"), List.of("m"));
        settings.putObject("caps")
                .put("mayCancel", true)
                .put("tryLimit", 3)
                .put("connectTimeout", 500 * NANOS_PER_MILLI)
                .put("connIdle", 10 * NANOS_PER_SECOND)
                .put("retryAfter", true)
                .put("maxRetryAfter", 1 * NANOS_PER_SECOND);
        settings.putObject("rules")
                .put("answerSlack", 20 * NANOS_PER_MILLI)
                .put("stopSendingWithin", 500 * NANOS_PER_MILLI)
                .put("coldShare", 0.4)
                .put("rampTime", 7 * NANOS_PER_SECOND)
                .put("overloadFactor", 4.0)
                .put("tipAfter", 1_500 * NANOS_PER_MILLI)
                .put("askWithin", 10 * NANOS_PER_SECOND);
        settings.putArray("profiles")
                .addObject()
                .put("name", "look-up")
                .put("slo", 1 * NANOS_PER_SECOND)
                .put("deadline", 5 * NANOS_PER_SECOND)
                .put("semantics", "repeatable");
        return this;
    }

    /** Sets the cached endpoint list that the sidecar starts with, in the JSON format of discovery. */
    public SidecarConfiguration cachedList(ObjectNode list) {
        root.set("known", list);
        return this;
    }

    /** Sets the cached endpoint list to ready servers at loopback ports, in zone a and of machine kind m. */
    public SidecarConfiguration cachedServers(List<Integer> ports) {
        ObjectNode list = JSON.createObjectNode().put("rev", 1).put("all", true);
        ArrayNode targets = list.putArray("targets");
        for (int i = 0; i < ports.size(); i++) {
            targets.addObject()
                    .put("uid", "s-" + i)
                    .put("endpoint", loopback(ports.get(i)))
                    .put("az", "a")
                    .put("model", "m")
                    .put("pod_group", 0)
                    .put("state", "SERVING")
                    .put("capacity_hint", 1.0)
                    .put("boot_ms", 0);
        }
        return cachedList(list);
    }

    /** Returns the settings of the load balancer, which callers may extend. */
    public ObjectNode settings() {
        return settings;
    }

    /** Returns the whole configuration. */
    public ObjectNode toJson() {
        return root;
    }

    /** Writes the configuration file of the sidecar. */
    public void write(Path file) throws IOException {
        Files.writeString(file, root.toString());
    }
}
