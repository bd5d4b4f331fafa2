package topazvalve.capacity.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import topazvalve.simulation.process.SidecarConfiguration;
import topazvalve.simulation.process.SidecarConfiguration.Discovery;

/** The configurations of the measured sidecars. */
final class MeasuredConfigurations {
    private static final int UNUSED_PORT = 1;
    private static final long MILLIS = 1_000_000;
    private static final long SECONDS = 1_000_000_000;

    private MeasuredConfigurations() {}

    /** Returns the configuration of a sidecar that watches the source at a port. */
    static SidecarConfiguration watching(int sourcePort) {
        return create(sourcePort, Discovery.SUBSCRIBE);
    }

    /** Returns the configuration of a sidecar without a source that knows the servers at these ports. */
    static SidecarConfiguration withKnownServers(List<Integer> serverPorts) {
        return create(UNUSED_PORT, Discovery.AUTOMATIC).knownServers(serverPorts);
    }

    private static SidecarConfiguration create(int sourcePort, Discovery discovery) {
        SidecarConfiguration configuration = new SidecarConfiguration(
                        "c0", "7", SidecarConfiguration.loopback(sourcePort), discovery, 0)
                .zonesAndKinds(List.of("a"), List.of("m"));
        ObjectNode settings = configuration.settings();
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
        return configuration;
    }
}
