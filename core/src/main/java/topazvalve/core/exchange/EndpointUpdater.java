package topazvalve.core.exchange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.core.endpoint.EndpointDiscovery;
import topazvalve.core.pool.Backend;
import topazvalve.policy.EndpointInfo;
import topazvalve.policy.EndpointStatus;
import topazvalve.policy.SettingsReader;
import topazvalve.policy.UpdateKind;

/** Forwards each update of the endpoint list to the backend and then to the policy, both in one event. */
final class EndpointUpdater implements EndpointDiscovery.Listener {
    private final Backend<?, ?> backend;
    private final PolicyDispatcher dispatcher;
    private final EndpointIds endpointIds = new EndpointIds();

    EndpointUpdater(Backend<?, ?> backend, PolicyDispatcher dispatcher) {
        this.backend = backend;
        this.dispatcher = dispatcher;
    }

    /** Assigns numbers to the names listed in the settings; called before the first update that uses them. */
    void registerNames(SettingsReader settings) {
        endpointIds.registerNames(settings);
    }

    @Override
    public void endpointsUpdated(UpdateKind kind, List<Endpoint> endpoints) {
        List<EndpointInfo> infos = new ArrayList<>(endpoints.size());
        Map<Long, Endpoint> endpointsById = new HashMap<>();
        for (Endpoint endpoint : endpoints) {
            EndpointInfo info = endpointIds.toEndpointInfo(endpoint);
            endpointsById.put(info.id(), endpoint);
            infos.add(info);
        }
        // The backend learns of it at once, so that no attempt that already waits for a connection goes to an endpoint
        // that drains.
        endpointsById.forEach(this::updateBackend);
        if (kind == UpdateKind.FULL) {
            removeUnlisted(endpointsById);
        }
        dispatcher.dispatchBeforeOthers((policy, now) -> policy.endpointsUpdated(now, kind, infos));
    }

    private void updateBackend(long id, Endpoint endpoint) {
        if (endpoint.status() == EndpointStatus.REMOVED) {
            backend.endpointRemoved(id);
        } else {
            boolean ready = endpoint.status() == EndpointStatus.READY;
            backend.endpointUpdated(id, endpoint.address(), endpoint.startedAtMillis(), ready);
        }
    }

    private void removeUnlisted(Map<Long, Endpoint> endpointsById) {
        for (long id : endpointIds.allEndpointIds()) {
            if (!endpointsById.containsKey(id)) {
                backend.endpointRemoved(id);
            }
        }
    }
}
