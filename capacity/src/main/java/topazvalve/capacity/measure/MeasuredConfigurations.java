package topazvalve.capacity.measure;

import java.util.List;
import topazvalve.simulation.process.SidecarConfiguration;
import topazvalve.simulation.process.SidecarConfiguration.Discovery;

/** The configurations of the measured sidecars. */
final class MeasuredConfigurations {
    private static final int UNUSED_PORT = 1;

    private MeasuredConfigurations() {}

    /** Returns the configuration of a sidecar that watches the source at a port. */
    static SidecarConfiguration watching(int sourcePort) {
        return create(sourcePort, Discovery.SUBSCRIBE);
    }

    /** Returns the configuration of a sidecar without a source that knows the servers at these ports. */
    static SidecarConfiguration withKnownServers(List<Integer> serverPorts) {
        return create(UNUSED_PORT, Discovery.AUTOMATIC).cachedServers(serverPorts);
    }

    private static SidecarConfiguration create(int sourcePort, Discovery discovery) {
        return new SidecarConfiguration("c0", "7", SidecarConfiguration.loopback(sourcePort), discovery, 0)
                .withMeasurementSettings();
    }
}
