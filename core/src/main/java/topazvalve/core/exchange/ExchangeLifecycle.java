package topazvalve.core.exchange;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import topazvalve.core.metrics.Metrics;
import topazvalve.core.metrics.RequestClassCounters;
import topazvalve.core.pool.Attempt;
import topazvalve.core.time.Scheduler;
import topazvalve.core.trace.EventTrace;
import topazvalve.policy.AnswerReason;
import topazvalve.policy.Request;

/**
 * Owns the tracked exchanges, from the request to the final answer and the end of the last attempt. Guarantees the
 * client exactly one final answer, whatever the policy and the backend do.
 */
final class ExchangeLifecycle<Q, A> implements ExchangeHandler<Q, A> {
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Part of the client's timeout that is reserved for sending the answer; the policy gets the rest. */
    private static final long RESPONSE_RESERVE_NANOS = 10 * NANOS_PER_MILLI;
    /** Time after the policy's deadline at which an unanswered exchange fails, still within the reserve. */
    private static final long OVERDUE_NANOS = RESPONSE_RESERVE_NANOS / 2;
    /**
     * Time that a request may have lain unread before it counts: a part of the 0.15 s by which the time told to a
     * server may exceed what its client has left. The rest is for writing it.
     */
    private static final long MAX_UNCOUNTED_AGE_NANOS = 75 * NANOS_PER_MILLI;
    /**
     * How long after the latest time for answers the end of the process is expected at any moment. A body that comes
     * whole after that keeps its own timeout: the process is left running, so that it can be served.
     */
    private static final long KILL_EXPECTED_NANOS = 1_500 * NANOS_PER_MILLI;
    /** Id returned for an exchange that was rejected on arrival. */
    private static final long REJECTED_ID = 0;

    private final Scheduler scheduler;
    private final PolicyDispatcher dispatcher;
    private final Metrics metrics;
    private final int maxExchanges;
    private final LongSupplier maxTimeoutNanos;
    private final Map<Long, Exchange<Q, A>> exchanges = new HashMap<>();
    private int maxAttempts;
    private long lastId;

    /**
     * Creates a lifecycle that tracks at most {@code maxExchanges}; further exchanges are rejected on arrival.
     *
     * @param maxTimeoutNanos returns how long an exchange whose time starts now may take, in nanoseconds
     */
    ExchangeLifecycle(
            Scheduler scheduler,
            PolicyDispatcher dispatcher,
            Metrics metrics,
            int maxExchanges,
            LongSupplier maxTimeoutNanos) {
        this.scheduler = scheduler;
        this.dispatcher = dispatcher;
        this.metrics = metrics;
        this.maxExchanges = maxExchanges;
        this.maxTimeoutNanos = maxTimeoutNanos;
    }

    /** Sets the maximum number of attempts for exchanges submitted from now on. */
    void setMaxAttempts(int maxAttempts) {
        this.maxAttempts = maxAttempts;
    }

    PolicyDispatcher dispatcher() {
        return dispatcher;
    }

    @Override
    public long submit(ExchangeRequest<Q> request, ResponseListener<A> listener) {
        boolean bodyComplete = request.body().isComplete();
        long submittedAtNanos = scheduler.nowNanos();
        long requestedNanos = request.timeoutMillis() * NANOS_PER_MILLI - passedNanos(request);
        long timeoutNanos = Math.min(requestedNanos, maxTimeoutNanos.getAsLong());
        RequestClassCounters counters =
                metrics.countersOf(request.requestClass().name());
        boolean full = exchanges.size() >= maxExchanges;
        if (full || timeoutNanos <= 0) {
            counters.requestShed();
            recordRejection(request, full ? AnswerReason.TOO_MANY_REQUESTS : AnswerReason.DEADLINE);
            listener.rejected(0);
            return REJECTED_ID;
        }
        long id = ++lastId;
        Exchange<Q, A> exchange = new Exchange<>(
                id, request, listener, counters, maxAttempts, Math.max(1, timeoutNanos - RESPONSE_RESERVE_NANOS));
        exchanges.put(id, exchange);
        request.body()
                .onProgress(
                        () -> bodyCompleted(exchange),
                        () -> dispatcher.dispatch((policy, now) -> policy.bodyNotReplayable(now, id)));
        Request policyRequest = toPolicyRequest(exchange);
        if (bodyComplete) {
            startTimeout(exchange, submittedAtNanos);
        }
        dispatcher.dispatch((policy, now) -> {
            if (!exchange.isOpen()) {
                return; // answered or disconnected before the policy was notified
            }
            exchange.policyNotified();
            if (bodyComplete) {
                policy.requestReceived(now, policyRequest);
            } else {
                policy.requestStarted(now, policyRequest);
            }
        });
        return id;
    }

    private static Request toPolicyRequest(Exchange<?, ?> exchange) {
        ExchangeRequest<?> request = exchange.request;
        return new Request(
                exchange.id,
                request.requestClass().number(),
                request.tenant(),
                request.resourceKey(),
                exchange.timeoutNanos(),
                request.costHintNanos(),
                request.clientRetry(),
                request.write());
    }

    /** Returns how much of a client's time may have passed before its request was read; 0 before its last byte. */
    private static long passedNanos(ExchangeRequest<?> request) {
        return Math.max(0, request.body().lastByteAgeNanos() - MAX_UNCOUNTED_AGE_NANOS);
    }

    private void bodyCompleted(Exchange<Q, A> exchange) {
        long completedAtNanos = scheduler.nowNanos();
        exchange.shortenTimeout(passedNanos(exchange.request));
        // Asked again: a shutdown may have begun since the exchange was submitted.
        long maxNanos = maxTimeoutNanos.getAsLong();
        if (maxNanos > -KILL_EXPECTED_NANOS) {
            exchange.limitTimeout(maxNanos - RESPONSE_RESERVE_NANOS);
        }
        startTimeout(exchange, completedAtNanos);
        exchange.startedAttempts().forEach(attempt -> attempt.startTimeout(completedAtNanos + exchange.timeoutNanos()));
        dispatcher.dispatch((policy, now) -> policy.requestBodyCompleted(now, exchange.id));
    }

    /** Sets the deadline, and a timer that fails the exchange if the policy has not answered by then. */
    private void startTimeout(Exchange<Q, A> exchange, long now) {
        long timeoutNanos = exchange.timeoutNanos();
        // After a stall the response may lie unread in a socket.
        Runnable onOverdue = () -> scheduler.runOnceCaughtUp(() -> deadlinePassed(exchange));
        exchange.startTimeout(now + timeoutNanos, scheduler.schedule(timeoutNanos + OVERDUE_NANOS, onOverdue));
    }

    private void deadlinePassed(Exchange<Q, A> exchange) {
        if (!exchange.isOpen() || exchange.state() == ExchangeState.RESPONDING) {
            return; // the timeout was cancelled while it waited for a catch-up
        }
        // Reported as a disconnect: in both cases nobody waits for a response any longer.
        abandon(exchange, () -> fail(exchange.id, AnswerReason.DEADLINE));
    }

    @Override
    public void clientDisconnected(long id) {
        Exchange<Q, A> exchange = exchanges.get(id);
        if (exchange == null || !exchange.isOpen()) {
            return;
        }
        EventTrace.clientDisconnected(exchange.request.message());
        abandon(exchange, () -> complete(exchange, () -> {}));
        if (exchange.respondingAttempt() != null) {
            exchange.respondingAttempt().cancel();
        }
    }

    /**
     * Ends an open exchange by {@code end}, notifies the policy of a client disconnect, and cancels the attempts that
     * are not written yet. This applies even if the settings do not allow cancellation, because that setting concerns
     * requests that a server has received. The exchange stays tracked until the policy is notified, which may be after
     * a stall: the policy may have ordered an attempt before, whose outcome it has to be told.
     */
    private void abandon(Exchange<Q, A> exchange, Runnable end) {
        exchange.endNotificationPending();
        end.run();
        dispatcher.dispatch((policy, now) -> {
            exchange.endNotified();
            removeIfSettled(exchange);
            policy.clientDisconnected(now, exchange.id);
        });
        for (Attempt<Q, A> attempt : exchange.startedAttempts()) {
            if (!attempt.isWritten()) {
                attempt.cancel();
            }
        }
    }

    /** Rejects the request, so that a retry is harmless; does nothing once it is answered or a response is streamed. */
    void reject(long id, long retryAfterNanos, AnswerReason reason) {
        completeUnlessResponding(id, exchange -> {
            exchange.counters.requestShed();
            recordRejection(exchange.request, reason);
            exchange.listener.rejected(retryAfterNanos);
        });
    }

    /** Fails the request; does nothing once it is answered or a response is being streamed. */
    void fail(long id, AnswerReason reason) {
        completeUnlessResponding(id, exchange -> {
            exchange.counters.requestFailed();
            metrics.requestFailed(reason);
            EventTrace.answered(exchange.request.message(), "failed", reason);
            exchange.listener.failed();
        });
    }

    private void recordRejection(ExchangeRequest<Q> request, AnswerReason reason) {
        metrics.requestRejected(reason);
        EventTrace.answered(request.message(), "rejected", reason);
    }

    private void completeUnlessResponding(long id, Consumer<Exchange<Q, A>> answer) {
        Exchange<Q, A> exchange = exchanges.get(id);
        if (exchange != null && exchange.state() != ExchangeState.RESPONDING) {
            complete(exchange, () -> answer.accept(exchange));
        }
    }

    /** Completes the exchange and runs {@code answer}, which sends the final answer; does nothing after the first. */
    void complete(Exchange<Q, A> exchange, Runnable answer) {
        if (exchange.isOpen()) {
            exchange.complete();
            answer.run();
            removeIfSettled(exchange);
        }
    }

    /** Stops tracking an exchange once it is answered and none of its attempts is in flight. */
    void removeIfSettled(Exchange<Q, A> exchange) {
        if (exchange.releaseIfSettled()) {
            exchanges.remove(exchange.id);
        }
    }

    /** Returns the tracked exchange with this id, or null. */
    Exchange<Q, A> find(long id) {
        return exchanges.get(id);
    }

    /** Returns the number of exchanges with a complete body and no final answer. */
    long activeCount() {
        return exchanges.values().stream()
                .filter(exchange -> exchange.isOpen() && exchange.request.body().isComplete())
                .count();
    }

    /** Returns the number of tracked exchanges, including answered ones with attempts in flight. */
    int trackedCount() {
        return exchanges.size();
    }

    /** Returns the states of the tracked exchanges. */
    List<ExchangeState> states() {
        return exchanges.values().stream().map(Exchange::state).toList();
    }
}
