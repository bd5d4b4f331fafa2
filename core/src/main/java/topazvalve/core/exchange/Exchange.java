package topazvalve.core.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import topazvalve.core.metrics.RequestClassCounters;
import topazvalve.core.pool.Attempt;
import topazvalve.core.time.Scheduler;

/** One exchange: the request, its attempts and its state. Used on the event loop alone. */
final class Exchange<Q, A> {
    private static final int NO_ATTEMPT = -1;
    private static final long NO_DEADLINE = Long.MAX_VALUE;

    final long id;
    final ExchangeRequest<Q> request;
    final ResponseListener<A> listener;
    final RequestClassCounters counters;
    private final int maxAttempts;
    /** By attempt number; null for one that was ordered and never started. */
    private final List<Attempt<Q, A>> attempts = new ArrayList<>(1);

    private ExchangeState state = ExchangeState.RECEIVED;
    private int attemptsInFlight;
    /** Number of the attempt whose response is being streamed to the client. */
    private int respondingAttempt = NO_ATTEMPT;
    /** When the client gives up; there is no such time until the body is complete. */
    private long deadlineNanos = NO_DEADLINE;

    private Scheduler.Timer timeout;

    Exchange(
            long id,
            ExchangeRequest<Q> request,
            ResponseListener<A> listener,
            RequestClassCounters counters,
            int maxAttempts) {
        this.id = id;
        this.request = request;
        this.listener = listener;
        this.counters = counters;
        this.maxAttempts = maxAttempts;
    }

    ExchangeState state() {
        return state;
    }

    /** Returns whether the client still waits for an answer or for the rest of one. */
    boolean isOpen() {
        return state.isOpen();
    }

    /** Records that the policy is being notified of the exchange. */
    void policyNotified() {
        state = state.after(ExchangeState.Event.POLICY_NOTIFIED, attemptsInFlight);
    }

    /** Starts the client's time: it gives up at {@code atNanos}, and {@code timer} runs unless it is answered. */
    void startTimeout(long atNanos, Scheduler.Timer timer) {
        deadlineNanos = atNanos;
        timeout = timer;
    }

    /** Returns the nanoseconds until the client gives up; negative once it has. */
    long remainingNanos(long now) {
        return deadlineNanos - now;
    }

    /** Returns whether an attempt that is ordered now may be started. */
    boolean mayStartAttempt(long now) {
        return (state == ExchangeState.PENDING || state == ExchangeState.ATTEMPTING)
                && now < deadlineNanos
                && attempts.size() < maxAttempts
                && request.body().isReplayable();
    }

    /** Adds an attempt that was ordered and returns its number; {@link #attemptStarted} may follow. */
    int addAttempt() {
        attemptsInFlight++;
        state = state.after(ExchangeState.Event.ATTEMPT_ADDED, attemptsInFlight);
        attempts.add(null);
        return attempts.size() - 1;
    }

    /** Records the started attempt under its number. The attempt may have ended while it was being started. */
    void attemptStarted(int number, Attempt<Q, A> attempt) {
        attempts.set(number, attempt);
    }

    /** Returns the attempt with a number; null if there is none or it was never started. */
    Attempt<Q, A> attempt(int number) {
        return number < attempts.size() ? attempts.get(number) : null;
    }

    /** Returns the attempts that were started, those that have ended among them. */
    List<Attempt<Q, A>> startedAttempts() {
        return attempts.stream().filter(Objects::nonNull).toList();
    }

    /** Begins to stream an attempt's response; returns false if the client needs no response any more. */
    boolean startResponse(int number) {
        if (state != ExchangeState.ATTEMPTING) {
            return false;
        }
        state = state.after(ExchangeState.Event.RESPONSE_STARTED, attemptsInFlight);
        respondingAttempt = number;
        cancelTimeout();
        return true;
    }

    /** Returns whether the response that is being streamed to the client is this attempt's. */
    boolean isRespondingWith(int number) {
        return state == ExchangeState.RESPONDING && respondingAttempt == number;
    }

    /** Records that an attempt has ended. */
    void attemptEnded() {
        attemptsInFlight--;
        state = state.after(ExchangeState.Event.ATTEMPT_ENDED, attemptsInFlight);
    }

    /** Ends the exchange for the client: it waits for nothing more, and the body is discarded. */
    void complete() {
        state = state.after(ExchangeState.Event.ANSWERED, attemptsInFlight);
        cancelTimeout();
        request.body().discard();
    }

    /** Returns the attempt whose response was streamed to the client; null if there is none. */
    Attempt<Q, A> respondingAttempt() {
        return respondingAttempt == NO_ATTEMPT ? null : attempts.get(respondingAttempt);
    }

    /** Returns whether neither client nor policy waits for anything, so that the exchange can be removed. */
    boolean releaseIfSettled() {
        if (state == ExchangeState.COMPLETED && attemptsInFlight == 0) {
            state = state.after(ExchangeState.Event.SETTLED, attemptsInFlight);
        }
        return state == ExchangeState.RELEASED;
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel();
        }
    }
}
