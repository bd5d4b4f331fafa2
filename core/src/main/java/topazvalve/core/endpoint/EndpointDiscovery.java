package topazvalve.core.endpoint;

import java.util.List;
import java.util.function.Supplier;
import topazvalve.policy.UpdateKind;

/**
 * A source of endpoint lists. The policy decides when to watch and when to fetch; every update and every failure is
 * reported to a single listener on the event loop.
 */
public interface EndpointDiscovery {
    /** Receives updates of the endpoint list. */
    interface Listener {
        /** Receives an update; {@code endpoints} is empty for {@link UpdateKind#FAILED}. */
        void endpointsUpdated(UpdateKind kind, List<Endpoint> endpoints);
    }

    /** Starts or stops watching for changes since the last known list. A start is followed by at least one update. */
    void watch(boolean enabled);

    /** Fetches the complete list once; followed by one update. */
    void fetch();

    /** Ends all pending calls; no further updates are reported. */
    void close();

    /**
     * Creates a discovery that does not watch for changes: each fetch and each start of a watch reports what
     * {@code endpoints} supplies.
     */
    static EndpointDiscovery fixed(Supplier<List<Endpoint>> endpoints, Listener listener) {
        return new EndpointDiscovery() {
            @Override
            public void watch(boolean enabled) {
                if (enabled) {
                    fetch();
                }
            }

            @Override
            public void fetch() {
                listener.endpointsUpdated(UpdateKind.FULL, endpoints.get());
            }

            @Override
            public void close() {}
        };
    }
}
