package topazvalve.relay;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.discovery.state.EndpointStore;

/**
 * Detects when a relay has lost its last healthy source, and when a source is healthy again. Used on the event loop
 * only.
 */
final class SourceHealthMonitor {
    private static final Logger LOG = LoggerFactory.getLogger("relay");

    private final String relayName;
    private final SourceGroup sources;
    private final EndpointStore store;
    private final Runnable onAllLost;
    private boolean healthy;

    /** Creates a monitor; {@code onAllLost} runs each time the last healthy source is lost. */
    SourceHealthMonitor(String relayName, SourceGroup sources, EndpointStore store, Runnable onAllLost) {
        this.relayName = relayName;
        this.sources = sources;
        this.store = store;
        this.onAllLost = onAllLost;
    }

    /** Compares the health of the sources with the previous check. */
    void check() {
        boolean wasHealthy = healthy;
        healthy = sources.isAnyHealthy();
        if (wasHealthy && !healthy) {
            LOG.warn("no healthy source: disconnecting subscribers");
            onAllLost.run();
        } else if (!wasHealthy && healthy) {
            LOG.info(
                    "{}: {} of {} sources healthy, {} endpoints",
                    relayName,
                    sources.healthyCount(),
                    sources.size(),
                    store.liveCount());
        }
    }
}
