package topazvalve.core.pool;

import io.netty.buffer.ByteBuf;
import java.util.function.Consumer;
import topazvalve.core.stream.FlowControl;
import topazvalve.core.stream.RequestBody;
import topazvalve.core.time.Scheduler;
import topazvalve.policy.LoadBalancer.Outcome;

/**
 * One sending of an exchange. Until its last byte is written it has never run; after that it may have.
 *
 * <p>It is WAITING for a connection, then WRITING on one, then HANDED whole to the connection, then WRITTEN,
 * and OVER from any of these. Its listener is told once that it is over, whatever happens twice.
 */
public final class Attempt<Q, A> {
    /** The end of an attempt that brought no report of its server's load. */
    public static final float[] NO_LOAD = {};

    private enum State {
        WAITING,
        WRITING,
        HANDED,
        WRITTEN,
        OVER
    }

    private final Scheduler time;
    private final Consumer<Attempt<Q, A>> notUnwritten;
    private final Q message;
    private final RequestBody body;
    private final long wait;
    private final AttemptListener<Q, A> listener;
    private State state = State.WAITING;
    private boolean ran;
    private Runnable breakOff = () -> {};
    private Scheduler.Timer alarm;

    /**
     * One that waits for a connection.
     *
     * @param unwrittenNoMore called once it is written or over, perhaps twice
     */
    public Attempt(
            Scheduler time,
            Q message,
            RequestBody body,
            long wait,
            AttemptListener<Q, A> listener,
            Consumer<Attempt<Q, A>> unwrittenNoMore) {
        this.time = time;
        this.message = message;
        this.body = body;
        this.wait = wait;
        this.listener = listener;
        this.notUnwritten = unwrittenNoMore;
    }

    public Q message() {
        return message;
    }

    public RequestBody body() {
        return body;
    }

    /** What it was given, in nanoseconds, from its sending on. */
    public long timeoutNanos() {
        return wait;
    }

    public boolean isCompleted() {
        return state == State.OVER;
    }

    /** Whether its last byte was written, so that it may have run; stays so when it is over. */
    public boolean isWritten() {
        return ran;
    }

    /** Whether all of it was handed to the connection, though perhaps not written yet. */
    public boolean isHandedOver() {
        return state == State.HANDED || state == State.WRITTEN;
    }

    /** From now on it may take so many nanoseconds until its answer is whole or begins. */
    public void startTimeout(long nanoseconds) {
        if (!isCompleted() && alarm == null) {
            alarm = time.schedule(nanoseconds, this::late);
        }
    }

    /** It may take as long as it likes. */
    public void cancelTimeout() {
        if (alarm != null) {
            alarm.cancel();
        }
    }

    /** A connection carries it from now on, and is broken off if it ends without an answer. */
    void carried(Runnable connectionEnd) {
        breakOff = connectionEnd;
    }

    /** The connection begins to write it. */
    public void writeStarted() {
        if (state == State.WAITING) {
            state = State.WRITING;
        }
    }

    /** The connection has taken its last byte. */
    public void handedOver() {
        if (!isCompleted()) {
            state = State.HANDED;
            body.stopReading();
        }
    }

    /** Its last byte was written. */
    public void requestWritten() {
        ran = true;
        if (!isCompleted()) {
            state = State.WRITTEN;
        }
        notUnwritten.accept(this);
        listener.requestWritten();
    }

    /** Gives it up and closes its connection. */
    public void cancel() {
        complete(Outcome.CANCELLED);
    }

    private void late() {
        complete(ran ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
    }

    /** Its connection is lost, or never came. */
    public void connectionLost() {
        complete(ran ? Outcome.RESET : Outcome.CONNECT_FAILED);
    }

    /** Its answer begins: it is passed on as it comes, and takes as long as that. */
    public void responseStarted(A first, long length, FlowControl rest) {
        cancelTimeout();
        listener.responseStarted(this, first, length, rest);
    }

    /** More of an answer that was begun; takes over the buffer. */
    public void responseData(ByteBuf bytes) {
        listener.responseData(bytes);
    }

    /** Ends it without an answer, unless it has ended before; its connection is of no further use. */
    public void complete(Outcome outcome) {
        if (!isCompleted()) {
            breakOff.run();
            complete(outcome, null, NO_LOAD);
        }
    }

    /** Ends it with what its connection, which stays as it is, has brought; not after another end. */
    public void complete(Outcome outcome, A answer, float[] load) {
        if (isCompleted()) {
            return;
        }
        boolean reading = state == State.WAITING || state == State.WRITING;
        state = State.OVER;
        cancelTimeout();
        if (reading) {
            body.stopReading();
        }
        notUnwritten.accept(this);
        listener.attemptCompleted(outcome, answer, load);
    }
}
