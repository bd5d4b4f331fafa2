package topazvalve.core.exchange;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.endpoint.EndpointDiscovery;
import topazvalve.core.pool.Attempt;
import topazvalve.core.pool.Backend;
import topazvalve.core.time.Scheduler;
import topazvalve.core.trace.EventTrace;
import topazvalve.policy.Actions;
import topazvalve.policy.AnswerReason;
import topazvalve.policy.Outcome;

/**
 * Executes the actions of the policy, within the event that the policy is handling. Each attempt that the policy
 * orders has exactly one outcome, even if it cannot be started.
 */
final class PolicyActionExecutor<Q, A> implements Actions {
    private static final Logger POLICY_LOG = LoggerFactory.getLogger("module");

    private final Scheduler scheduler;
    private final PolicyDispatcher dispatcher;
    private final ExchangeLifecycle<Q, A> lifecycle;
    private final Backend<Q, A> backend;
    private EndpointDiscovery discovery;

    PolicyActionExecutor(
            Scheduler scheduler,
            PolicyDispatcher dispatcher,
            ExchangeLifecycle<Q, A> lifecycle,
            Backend<Q, A> backend) {
        this.scheduler = scheduler;
        this.dispatcher = dispatcher;
        this.lifecycle = lifecycle;
        this.backend = backend;
    }

    /** Sets the source of endpoint lists; called before the policy is started. */
    void setDiscovery(EndpointDiscovery discovery) {
        this.discovery = discovery;
    }

    @Override
    public void forward(long request, long endpoint, long timeoutNanos) {
        Exchange<Q, A> exchange = lifecycle.find(request);
        if (exchange == null) {
            dispatcher.recordException(new IllegalStateException("attempt ordered for an exchange that has ended"));
            return;
        }
        long now = scheduler.nowNanos();
        boolean mayStart = exchange.mayStartAttempt(now);
        long latestStartNanos = exchange.latestStartNanos();
        int number = exchange.addAttempt(now);
        ExchangeAttempt<Q, A> attempt = new ExchangeAttempt<>(lifecycle, exchange, number, endpoint, now);
        if (!mayStart) {
            attempt.attemptCompleted(Outcome.NEVER_SENT, null, Attempt.NO_LOAD_REPORT);
            return;
        }
        long attemptTimeoutNanos = attemptTimeoutNanos(exchange, timeoutNanos, now);
        EventTrace.attemptStarted(exchange.request.message(), number, endpoint, attemptTimeoutNanos);
        try {
            Attempt<Q, A> started = backend.startAttempt(
                    endpoint, exchange.request.message(), exchange.request.body(), attemptTimeoutNanos, now, attempt);
            started.setLatestStart(latestStartNanos);
            exchange.attemptStarted(number, started);
        } catch (RuntimeException e) {
            dispatcher.recordException(e);
            // It may have been written before.
            attempt.attemptCompleted(Outcome.ERROR, null, Attempt.NO_LOAD_REPORT);
        }
    }

    private long attemptTimeoutNanos(Exchange<Q, A> exchange, long policyTimeoutNanos, long now) {
        long clientNanos = Math.min(exchange.timeoutNanos(), exchange.remainingNanos(now));
        return policyTimeoutNanos > 0 ? Math.min(clientNanos, policyTimeoutNanos) : clientNanos;
    }

    @Override
    public void reject(long request, long retryAfterNanos, AnswerReason reason) {
        lifecycle.reject(request, retryAfterNanos, reason);
    }

    @Override
    public void fail(long request, AnswerReason reason) {
        lifecycle.fail(request, reason);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        Exchange<Q, A> exchange = lifecycle.find(request);
        Attempt<Q, A> started = exchange == null ? null : exchange.attempt(attempt);
        if (started != null) {
            started.cancel();
        }
    }

    @Override
    public void setTimer(long token, long atNanos) {
        long delayNanos = Math.max(0, atNanos - scheduler.nowNanos());
        scheduler.schedule(delayNanos, () -> dispatcher.dispatch((policy, now) -> policy.timerFired(now, token)));
    }

    @Override
    public void sendHealthCheck(long endpoint) {
        long sentAtNanos = scheduler.nowNanos();
        backend.sendHealthCheck(
                endpoint,
                (outcome, response, loadReport) -> dispatcher.dispatch((policy, now) ->
                        policy.healthCheckCompleted(now, endpoint, outcome, now - sentAtNanos, loadReport)));
    }

    @Override
    public void closeIdleConnections(long endpoint) {
        backend.closeIdleConnections(endpoint);
    }

    /** Not supported: these sidecars have no peers, so the policy sends no gossip. */
    @Override
    public void sendGossip(int peer, byte[] message) {
        throw new UnsupportedOperationException("gossip is not supported");
    }

    @Override
    public void log(String line) {
        POLICY_LOG.info("{}", line);
    }

    @Override
    public void watchEndpoints(boolean enabled) {
        discovery.watch(enabled);
    }

    @Override
    public void fetchEndpoints() {
        discovery.fetch();
    }
}
