package topazvalve.core.exchange;

import io.netty.buffer.ByteBuf;
import topazvalve.core.pool.Attempt;
import topazvalve.core.pool.AttemptListener;
import topazvalve.core.stream.FlowControl;
import topazvalve.policy.AttemptResult;
import topazvalve.policy.Outcome;

/** Reports the progress and the outcome of one attempt to the client and to the policy. */
final class ExchangeAttempt<Q, A> implements AttemptListener<Q, A> {
    private final ExchangeLifecycle<Q, A> lifecycle;
    private final Exchange<Q, A> exchange;
    private final int number;
    private final long endpoint;
    private final long startedAtNanos;
    private boolean completed;

    ExchangeAttempt(
            ExchangeLifecycle<Q, A> lifecycle,
            Exchange<Q, A> exchange,
            int number,
            long endpoint,
            long startedAtNanos) {
        this.lifecycle = lifecycle;
        this.exchange = exchange;
        this.number = number;
        this.endpoint = endpoint;
        this.startedAtNanos = startedAtNanos;
    }

    @Override
    public boolean isClientConnected() {
        if (exchange.listener.isClientConnected()) {
            return true;
        }
        lifecycle.clientDisconnected(exchange.id);
        return false;
    }

    @Override
    public void requestWritten() {
        exchange.counters.attemptWritten();
    }

    @Override
    public void responseStarted(Attempt<Q, A> attempt, A firstPart, long length, FlowControl flowControl) {
        if (!exchange.startResponse(number)) {
            attempt.cancel();
            return;
        }
        lifecycle
                .dispatcher()
                .dispatch((policy, now) ->
                        policy.responseStarted(now, exchange.id, number, endpoint, now - startedAtNanos));
        exchange.listener.responseStarted(firstPart, length, flowControl);
    }

    @Override
    public void responseData(ByteBuf bytes) {
        exchange.listener.responseData(bytes);
    }

    @Override
    public void attemptCompleted(Outcome outcome, A response, float[] loadReport) {
        if (completed) {
            return; // a backend that failed to start it has reported its end nevertheless
        }
        completed = true;
        // The response is sent without waiting for queued events. An exception from it must not prevent the policy
        // from being notified, or the attempt would count as in flight forever.
        lifecycle.dispatcher().runGuarded(() -> respond(outcome, response));
        lifecycle.dispatcher().dispatch((policy, now) -> {
            exchange.attemptEnded(number, outcome);
            long elapsedNanos = now - startedAtNanos;
            boolean requestCompleted = !exchange.isOpen();
            policy.attemptCompleted(
                    now,
                    new AttemptResult(exchange.id, number, endpoint, outcome, elapsedNanos, requestCompleted),
                    loadReport);
            lifecycle.removeIfSettled(exchange);
        });
    }

    /** Completes the exchange if this attempt provides the client's answer. */
    private void respond(Outcome outcome, A response) {
        boolean responding = exchange.isRespondingWith(number);
        if (responding && outcome == Outcome.OK) {
            lifecycle.complete(exchange, this::finishResponse);
        } else if (responding) {
            lifecycle.complete(exchange, this::abortResponse);
        } else if (outcome == Outcome.OK && exchange.state() == ExchangeState.ATTEMPTING) {
            lifecycle.complete(exchange, () -> {
                exchange.counters.requestServed();
                exchange.listener.responseReceived(response);
            });
        }
    }

    private void finishResponse() {
        exchange.counters.requestServed();
        exchange.listener.responseCompleted();
    }

    private void abortResponse() {
        exchange.counters.requestFailed();
        exchange.listener.responseAborted();
    }
}
