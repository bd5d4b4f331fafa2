package topazvalve.core.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import topazvalve.core.metrics.RequestClassCounters;
import topazvalve.core.pool.Attempt;
import topazvalve.core.time.Scheduler;
import topazvalve.policy.Idempotency;
import topazvalve.policy.Outcome;
import topazvalve.policy.RequestClass;

/** One exchange: the request, its attempts and its state. Used only on the event loop. */
final class Exchange<Q, A> {
    private static final int NO_ATTEMPT = -1;
    private static final long NO_DEADLINE = Long.MAX_VALUE;
    private static final long NEVER_RAN = Long.MAX_VALUE;

    final long id;
    final ExchangeRequest<Q> request;
    final ResponseListener<A> listener;
    final RequestClassCounters counters;
    private final int maxAttempts;
    /** When each attempt was ordered, by attempt number; {@link #NEVER_RAN} if it is proven that it did not run. */
    private final List<Long> mayHaveRunSince = new ArrayList<>(1);
    /** Indexed by attempt number; null for an attempt that the policy ordered but that was not started. */
    private final List<Attempt<Q, A>> attempts = new ArrayList<>(1);

    private ExchangeState state = ExchangeState.RECEIVED;
    private int attemptsInFlight;
    /** Whether the policy has yet to be notified that nobody waits for a response; it may order attempts until then. */
    private boolean endNotificationPending;
    /** Number of the attempt whose response is being streamed to the client. */
    private int respondingAttempt = NO_ATTEMPT;
    /** Timeout of the exchange for the policy and its attempts, counted from when its complete body was read. */
    private long timeoutNanos;
    /** Deadline of the exchange; {@link #NO_DEADLINE} until the body is complete. */
    private long deadlineNanos = NO_DEADLINE;

    private Scheduler.Timer timeout;

    Exchange(
            long id,
            ExchangeRequest<Q> request,
            ResponseListener<A> listener,
            RequestClassCounters counters,
            int maxAttempts,
            long timeoutNanos) {
        this.id = id;
        this.timeoutNanos = timeoutNanos;
        this.request = request;
        this.listener = listener;
        this.counters = counters;
        this.maxAttempts = maxAttempts;
    }

    ExchangeState state() {
        return state;
    }

    /** Returns whether the client is still waiting for an answer or for the rest of one. */
    boolean isOpen() {
        return state.isOpen();
    }

    /** Records that the policy is being notified of the exchange. */
    void policyNotified() {
        state = state.after(ExchangeState.Event.POLICY_NOTIFIED, attemptsInFlight);
    }

    /** Returns the timeout for the policy and the attempts, in nanoseconds from when the complete body was read. */
    long timeoutNanos() {
        return timeoutNanos;
    }

    /** Shortens the timeout by a part of it that has passed already. */
    void shortenTimeout(long passedNanos) {
        timeoutNanos = Math.max(1, timeoutNanos - passedNanos);
    }

    /** Limits the timeout; the result is at least 1 ns. */
    void limitTimeout(long maxNanos) {
        timeoutNanos = Math.max(1, Math.min(timeoutNanos, maxNanos));
    }

    /** Sets the deadline, and the timer that is cancelled when the exchange is answered or its response starts. */
    void startTimeout(long deadlineNanos, Scheduler.Timer timer) {
        this.deadlineNanos = deadlineNanos;
        timeout = timer;
    }

    /** Returns the nanoseconds until the deadline; negative after it. */
    long remainingNanos(long nowNanos) {
        return deadlineNanos - nowNanos;
    }

    /** Returns whether another attempt may be started now. */
    boolean mayStartAttempt(long nowNanos) {
        return (state == ExchangeState.PENDING || state == ExchangeState.ATTEMPTING)
                && nowNanos < deadlineNanos
                && attempts.size() < maxAttempts
                && request.body().isReplayable();
    }

    /** Adds an attempt that the policy ordered and returns its number; {@link #attemptStarted} may follow. */
    int addAttempt(long nowNanos) {
        attemptsInFlight++;
        mayHaveRunSince.add(nowNanos);
        state = state.after(ExchangeState.Event.ATTEMPT_ADDED, attemptsInFlight);
        attempts.add(null);
        return attempts.size() - 1;
    }

    /** Records a started attempt, which may already have ended. */
    void attemptStarted(int number, Attempt<Q, A> attempt) {
        attempts.set(number, attempt);
    }

    /** Returns the attempt with this number; null if there is none or it was not started. */
    Attempt<Q, A> attempt(int number) {
        return number < attempts.size() ? attempts.get(number) : null;
    }

    /** Returns all attempts that were started, including those that have ended. */
    List<Attempt<Q, A>> startedAttempts() {
        return attempts.stream().filter(Objects::nonNull).toList();
    }

    /** Begins to stream an attempt's response; returns false if the client no longer needs one from this attempt. */
    boolean startResponse(int number) {
        if (state != ExchangeState.ATTEMPTING) {
            return false;
        }
        state = state.after(ExchangeState.Event.RESPONSE_STARTED, attemptsInFlight);
        respondingAttempt = number;
        cancelTimeout();
        return true;
    }

    /** Returns whether this attempt's response is being streamed to the client. */
    boolean isRespondingWith(int number) {
        return state == ExchangeState.RESPONDING && respondingAttempt == number;
    }

    /**
     * Returns until when a further attempt may be written: the end of the idempotency key's lifetime, which begins with
     * the first attempt that may have run.
     */
    long latestStartNanos() {
        long firstNanos = mayHaveRunSince.stream().min(Long::compare).orElse(NEVER_RAN);
        if (firstNanos == NEVER_RAN) {
            return Long.MAX_VALUE;
        }
        RequestClass rules = request.requestClass().rules();
        boolean limited = rules.idempotency() == Idempotency.IDEMPOTENCY_KEY;
        return limited ? firstNanos + rules.keyTtlNanos() : Long.MAX_VALUE;
    }

    /** Records that an attempt has ended. */
    void attemptEnded(int number, Outcome outcome) {
        if (outcome.provesNeverRan()) {
            mayHaveRunSince.set(number, NEVER_RAN);
        }
        attemptsInFlight--;
        state = state.after(ExchangeState.Event.ATTEMPT_ENDED, attemptsInFlight);
    }

    /** Completes the exchange for the client, cancels the timeout and discards the body. */
    void complete() {
        state = state.after(ExchangeState.Event.ANSWERED, attemptsInFlight);
        cancelTimeout();
        request.body().discard();
    }

    /** Returns the attempt whose response was streamed to the client; null if there is none. */
    Attempt<Q, A> respondingAttempt() {
        return respondingAttempt == NO_ATTEMPT ? null : attempts.get(respondingAttempt);
    }

    /** Records that the exchange is about to end for a reason that the policy has yet to be notified of. */
    void endNotificationPending() {
        endNotificationPending = true;
    }

    /** Records that the policy knows of the end: it orders no further attempt. */
    void endNotified() {
        endNotificationPending = false;
    }

    /** Returns whether the exchange is answered and the policy awaits no further outcome, so that it can be removed. */
    boolean releaseIfSettled() {
        if (state == ExchangeState.COMPLETED && attemptsInFlight == 0 && !endNotificationPending) {
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
