package topazvalve.core.endpoint;

import java.util.List;
import java.util.function.Supplier;
import topazvalve.policy.UpdateKind;

/**
 * A source of endpoint lists. The policy decides when to watch and when to fetch; every answer and every failure
 * is reported to the one listener, on the event loop.
 */
public interface EndpointDiscovery {
    /** Receives updates of the endpoint list. */
    interface Listener {
        /** Receives an update; {@code endpoints} is empty for {@link UpdateKind#FAILED}. */
        void endpointsUpdated(UpdateKind kind, List<Endpoint> endpoints);
    }

    /** Watches for changes after the last known list, or stops; answered by at least one update. */
    void watch(boolean enabled);

    /** Fetches the complete list once; answered by one update. */
    void fetch();

    /** Ends all calls; no update is reported any more. */
    void close();

    /** Creates a discovery over a fixed source: {@link #fetch} reports its list, and nothing is watched. */
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
