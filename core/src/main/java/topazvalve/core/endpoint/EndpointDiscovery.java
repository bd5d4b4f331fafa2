package topazvalve.core.endpoint;

import java.util.List;
import java.util.function.Supplier;
import topazvalve.policy.LoadBalancer.UpdateKind;

/**
 * Tells of servers. The decision module says when to follow and when to ask; each answer and each failure
 * comes to the one listener, on the loop.
 */
public interface EndpointDiscovery {
    /** Takes what a list tells; {@code targets} is empty for {@link UpdateKind#FAILED}. */
    interface Listener {
        void endpointsUpdated(UpdateKind kind, List<Endpoint> endpoints);
    }

    /** Follows changes from the last one known, or stops; answered by one call at the least. */
    void watch(boolean on);

    /** Asks for the whole list once; answered by one call. */
    void fetch();

    /** Ends what is out; nobody is told of anything any more. */
    void close();

    /** Servers that a file names: nothing is followed, {@link #fetch} tells what it says now. */
    static EndpointDiscovery fixed(Supplier<List<Endpoint>> targets, Listener listener) {
        return new EndpointDiscovery() {
            @Override
            public void watch(boolean on) {
                if (on) {
                    fetch();
                }
            }

            @Override
            public void fetch() {
                listener.endpointsUpdated(UpdateKind.FULL, targets.get());
            }

            @Override
            public void close() {}
        };
    }
}
