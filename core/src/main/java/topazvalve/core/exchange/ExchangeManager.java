package topazvalve.core.exchange;

import java.util.List;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.core.endpoint.EndpointDiscovery;
import topazvalve.core.metrics.Metrics;
import topazvalve.core.pool.Backend;
import topazvalve.core.requestclass.RequestClassRegistry;
import topazvalve.core.time.Scheduler;
import topazvalve.policy.Actions;
import topazvalve.policy.LoadBalancer;
import topazvalve.policy.Settings;
import topazvalve.policy.SettingsReader;
import topazvalve.policy.UpdateKind;

/**
 * The core of one sidecar: frontends submit exchanges, the policy decides, and a backend carries the attempts.
 * This class puts the parts together and is their only public face: {@link ExchangeLifecycle} owns the
 * exchanges, {@link PolicyDispatcher} calls the policy, {@link PolicyActionExecutor} carries out what it
 * orders, and {@link EndpointUpdater} passes on endpoint lists. Used on the event loop alone.
 *
 * @param <Q> request of the protocol
 * @param <A> response of the protocol
 */
public final class ExchangeManager<Q, A> implements ExchangeHandler<Q, A>, Metrics.Gauges, EndpointDiscovery.Listener {

    /** Creates the policy. */
    public interface PolicyFactory {
        /** Creates a policy with these settings that gives its orders to {@code actions}. */
        LoadBalancer create(Settings settings, Actions actions);
    }

    private final Backend<Q, A> backend;
    private final Metrics metrics;
    private final RequestClassRegistry classes;
    private final PolicyDispatcher dispatcher;
    private final ExchangeLifecycle<Q, A> lifecycle;
    private final PolicyActionExecutor<Q, A> actions;
    private final EndpointUpdater endpointUpdater;
    private EndpointDiscovery discovery;

    /**
     * Creates the core and its policy; {@link #start} begins.
     *
     * @param maxExchanges how many exchanges are tracked at most; more are rejected on arrival
     * @throws IllegalArgumentException if the settings lack a value or hold one that makes no sense
     */
    public ExchangeManager(
            Scheduler scheduler,
            SettingsReader settings,
            PolicyFactory policyFactory,
            Backend<Q, A> backend,
            int maxExchanges,
            Metrics metrics,
            RequestClassRegistry classes) {
        this.backend = backend;
        this.metrics = metrics;
        this.classes = classes;
        this.dispatcher = new PolicyDispatcher(scheduler);
        this.lifecycle = new ExchangeLifecycle<>(scheduler, dispatcher, metrics, maxExchanges);
        this.actions = new PolicyActionExecutor<>(scheduler, dispatcher, lifecycle, backend);
        this.endpointUpdater = new EndpointUpdater(backend, dispatcher);
        dispatcher.setPolicy(policyFactory.create(applySettings(settings), actions));
    }

    /** Applies settings to the core; returns them for the policy, with the class table's numbers. */
    private Settings applySettings(SettingsReader reader) {
        Settings settings = reader.settings();
        List<String> classNames = reader.names("profiles");
        classes.update(classNames, settings.requestClasses());
        metrics.register(classNames);
        lifecycle.setMaxAttempts(settings.capabilities().maxAttempts());
        endpointUpdater.registerNames(reader);
        return settings.withRequestClasses(classes.rules());
    }

    /** Starts the policy with the cached endpoint list; called once, on the event loop. */
    public void start(EndpointDiscovery endpointDiscovery, List<Endpoint> cachedEndpoints) {
        discovery = endpointDiscovery;
        actions.setDiscovery(endpointDiscovery);
        dispatcher.dispatch(LoadBalancer::start);
        endpointsUpdated(UpdateKind.CACHED, cachedEndpoints);
    }

    /** Stops discovery and closes idle connections; exchanges that are open are still answered. */
    public void stop() {
        if (discovery != null) {
            discovery.close();
        }
        backend.close();
    }

    /**
     * Applies new settings; open exchanges keep the class and the limit of attempts that they came under.
     *
     * @throws IllegalArgumentException if the settings lack a value or hold one that makes no sense
     */
    public void settingsChanged(SettingsReader reader) {
        Settings settings = applySettings(reader);
        backend.settingsChanged(reader);
        dispatcher.dispatch((policy, now) -> policy.settingsChanged(now, settings));
    }

    @Override
    public void endpointsUpdated(UpdateKind kind, List<Endpoint> endpoints) {
        endpointUpdater.endpointsUpdated(kind, endpoints);
    }

    @Override
    public long submit(ExchangeRequest<Q> request, ResponseListener<A> listener) {
        return lifecycle.submit(request, listener);
    }

    @Override
    public void clientDisconnected(long id) {
        lifecycle.clientDisconnected(id);
    }

    @Override
    public long active() {
        return lifecycle.activeCount();
    }

    @Override
    public long poolSize() {
        return backend.endpointCount();
    }

    @Override
    public long poolEjected() {
        return dispatcher.ejectedCount();
    }

    /** Returns how many exchanges are tracked, answered ones with attempts in flight among them. */
    int trackedCount() {
        return lifecycle.trackedCount();
    }

    /** Returns how many events have thrown; each one is a fault of this program. */
    long faultCount() {
        return dispatcher.faultCount();
    }

    /** Returns the states of the tracked exchanges. */
    List<ExchangeState> states() {
        return lifecycle.states();
    }
}
