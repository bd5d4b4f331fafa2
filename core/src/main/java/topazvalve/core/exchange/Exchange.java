package topazvalve.core.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import topazvalve.core.exchange.ExchangeState.Step;
import topazvalve.core.metrics.ClassCounters;
import topazvalve.core.pool.Attempt;
import topazvalve.core.time.Scheduler;

/** One exchange: what was asked, its attempts, and where it is in its life. */
final class Exchange<Q, A> {
    final long id;
    final ExchangeRequest<Q> job;
    final ResponseListener<A> client;
    final ClassCounters counts;
    private final int tryLimit;
    private final List<Attempt<Q, A>> attempts = new ArrayList<>(1);
    private ExchangeState phase = ExchangeState.TAKEN;
    private int out;
    /** The attempt whose answer has begun, which from then on is the client's; -1 for none. */
    private int answering = -1;
    /** When the client gives up; never, until its body is whole. */
    private long deadline = Long.MAX_VALUE;

    private Scheduler.Timer giveUp;

    Exchange(long id, ExchangeRequest<Q> job, ResponseListener<A> client, ClassCounters counts, int tryLimit) {
        this.id = id;
        this.job = job;
        this.client = client;
        this.counts = counts;
        this.tryLimit = tryLimit;
    }

    ExchangeState phase() {
        return phase;
    }

    boolean open() {
        return phase.open();
    }

    /** The decision module is told of it now. */
    void told() {
        phase = phase.after(Step.TOLD, out);
    }

    /** The client's time runs from now on; {@code alarm} ends it if nobody else does. */
    void startClock(long at, Scheduler.Timer alarm) {
        deadline = at;
        giveUp = alarm;
    }

    /** Nanoseconds until the client gives up. */
    long left(long now) {
        return deadline - now;
    }

    /** Whether an attempt that is ordered now may set out. */
    boolean maySend(long now) {
        return (phase == ExchangeState.WAITING || phase == ExchangeState.OUT)
                && now < deadline
                && attempts.size() < tryLimit
                && job.body().isReplayable();
    }

    /** An attempt is ordered; returns its number. What becomes of it is said by {@link #sent}. */
    int ordered() {
        out++;
        phase = phase.after(Step.SENT, out);
        attempts.add(null);
        return attempts.size() - 1;
    }

    /** An ordered attempt is out. It may have ended within its sending. */
    void sent(int number, Attempt<Q, A> attempt) {
        attempts.set(number, attempt);
    }

    /** All attempts that were sent, ended ones too. */
    List<Attempt<Q, A>> attempts() {
        return attempts;
    }

    /** Those of them that were carried further than the order. */
    List<Attempt<Q, A>> sentAttempts() {
        return attempts.stream().filter(Objects::nonNull).toList();
    }

    /** The answer of an attempt begins; false if it is not wanted any more. */
    boolean begun(int number) {
        if (phase != ExchangeState.OUT) {
            return false;
        }
        phase = phase.after(Step.BEGUN, out);
        answering = number;
        stopClock();
        return true;
    }

    /** Whether the answer that the client has the beginning of is this attempt's. */
    boolean answeredBy(int number) {
        return phase == ExchangeState.ANSWERING && answering == number;
    }

    /** An attempt has ended. */
    void ended() {
        out--;
        phase = phase.after(Step.ENDED, out);
    }

    /** The client is owed nothing more: what is out is of no use. */
    void answered() {
        phase = phase.after(Step.ANSWERED, out);
        stopClock();
        job.body().discard();
    }

    /** The attempt whose answer was being passed on, or null. */
    Attempt<Q, A> answering() {
        return answering < 0 ? null : attempts.get(answering);
    }

    /** Whether nothing is owed to anybody any more, neither client nor module; then it is forgotten. */
    boolean settled() {
        if (phase == ExchangeState.ANSWERED && out == 0) {
            phase = phase.after(Step.SETTLED, out);
        }
        return phase == ExchangeState.FORGOTTEN;
    }

    private void stopClock() {
        if (giveUp != null) {
            giveUp.cancel();
        }
    }
}
