package topazvalve.core.exchange;

import java.util.List;
import java.util.function.LongSupplier;
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
 * The core of one sidecar: frontends submit exchanges, the policy decides, and a backend performs the attempts.
 * This class wires the components together and is their only public entry point: {@link ExchangeLifecycle} owns
 * the exchanges, {@link PolicyDispatcher} calls the policy, {@link PolicyActionExecutor} executes its actions, and
 * {@link EndpointUpdater} forwards endpoint lists. Used only on the event loop.
 *
 * @param <Q> request type of the protocol
 * @param <A> response type of the protocol
 */
public final class ExchangeManager<Q, A> implements ExchangeHandler<Q, A>, Metrics.Gauges, EndpointDiscovery.Listener {

    /** Creates the policy. */
    public interface PolicyFactory {
        /** Creates a policy with these settings that calls {@code actions}. */
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
     * Creates the core and its policy, to be started with {@link #start}.
     *
     * @param maxExchanges maximum number of tracked exchanges; further exchanges are rejected on arrival
     * @param maxTimeoutNanos returns how long an exchange whose time starts now may take, in nanoseconds
     * @throws IllegalArgumentException if the settings lack a value or contain an invalid one
     */
    public ExchangeManager(
            Scheduler scheduler,
            SettingsReader settings,
            PolicyFactory policyFactory,
            Backend<Q, A> backend,
            int maxExchanges,
            Metrics metrics,
            RequestClassRegistry classes,
            LongSupplier maxTimeoutNanos) {
        this.backend = backend;
        this.metrics = metrics;
        this.classes = classes;
        this.dispatcher = new PolicyDispatcher(scheduler);
        this.lifecycle = new ExchangeLifecycle<>(scheduler, dispatcher, metrics, maxExchanges, maxTimeoutNanos);
        this.actions = new PolicyActionExecutor<>(scheduler, dispatcher, lifecycle, backend);
        this.endpointUpdater = new EndpointUpdater(backend, dispatcher);
        dispatcher.setPolicy(policyFactory.create(applySettings(settings), actions));
    }

    /** Applies settings to the core; returns them for the policy, with request classes by their registered numbers. */
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

    /** Stops discovery and closes idle connections; open exchanges are still answered. */
    public void stop() {
        if (discovery != null) {
            discovery.close();
        }
        backend.close();
    }

    /**
     * Applies new settings; open exchanges keep their request class and maximum number of attempts.
     *
     * @throws IllegalArgumentException if the settings lack a value or contain an invalid one
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
    public long activeExchanges() {
        return lifecycle.activeCount();
    }

    @Override
    public long listedEndpoints() {
        return backend.endpointCount();
    }

    @Override
    public long ejectedEndpoints() {
        return dispatcher.ejectedCount();
    }

    /** Returns the number of tracked exchanges, including answered ones with attempts in flight. */
    int trackedCount() {
        return lifecycle.trackedCount();
    }

    /** Returns how many events have thrown an exception; each one indicates a bug. */
    long exceptionCount() {
        return dispatcher.exceptionCount();
    }

    /** Returns the states of the tracked exchanges. */
    List<ExchangeState> states() {
        return lifecycle.states();
    }
}
