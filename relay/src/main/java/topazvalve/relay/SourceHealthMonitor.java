package topazvalve.relay;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.discovery.state.EndpointStore;

/**
 * Notices when the last healthy source of a relay is lost, and when one is healthy again. On the event loop
 * alone.
 */
final class SourceHealthMonitor {
    private static final Logger LOG = LoggerFactory.getLogger("relay");

    private final String relayName;
    private final SourceGroup sources;
    private final EndpointStore store;
    private final Runnable onAllLost;
    private boolean healthy;

    /** Creates a monitor; {@code onAllLost} runs each time that no source is healthy any more. */
    SourceHealthMonitor(String relayName, SourceGroup sources, EndpointStore store, Runnable onAllLost) {
        this.relayName = relayName;
        this.sources = sources;
        this.store = store;
        this.onAllLost = onAllLost;
    }

    /** Compares the sources' health with that at the last check. */
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
