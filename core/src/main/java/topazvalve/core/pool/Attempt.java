package topazvalve.core.pool;

import io.netty.buffer.ByteBuf;
import java.util.function.Consumer;
import topazvalve.core.stream.FlowControl;
import topazvalve.core.stream.RequestBody;
import topazvalve.core.time.Scheduler;
import topazvalve.policy.Outcome;

/**
 * One attempt to have an exchange served by an endpoint. Until its last byte is written the server has not run
 * it; after that the server may have.
 *
 * <p>An attempt waits for a connection (PENDING), is written on one (WRITING), is handed over to the connection
 * in full (HANDED_OVER), and is written (WRITTEN); from each of these states it can become COMPLETED. Its
 * listener is notified of the end exactly once. Used on the event loop alone.
 *
 * @param <Q> request of the protocol
 * @param <A> response of the protocol
 */
public final class Attempt<Q, A> {
    /** The load report of an attempt that brought none. */
    public static final float[] NO_LOAD_REPORT = {};

    private enum State {
        PENDING,
        WRITING,
        HANDED_OVER,
        WRITTEN,
        COMPLETED
    }

    private final Scheduler scheduler;
    private final Consumer<Attempt<Q, A>> onWrittenOrCompleted;
    private final Q message;
    private final RequestBody body;
    private final long timeoutNanos;
    private final AttemptListener<Q, A> listener;
    private State state = State.PENDING;
    private boolean written;
    private Runnable closeConnection = () -> {};
    private Scheduler.Timer timeout;

    /**
     * Creates an attempt that waits for a connection.
     *
     * @param timeoutNanos how long the attempt may take, in nanoseconds; {@link #startTimeout} starts the time
     * @param onWrittenOrCompleted called once the attempt is written or completed, possibly twice
     */
    public Attempt(
            Scheduler scheduler,
            Q message,
            RequestBody body,
            long timeoutNanos,
            AttemptListener<Q, A> listener,
            Consumer<Attempt<Q, A>> onWrittenOrCompleted) {
        this.scheduler = scheduler;
        this.message = message;
        this.body = body;
        this.timeoutNanos = timeoutNanos;
        this.listener = listener;
        this.onWrittenOrCompleted = onWrittenOrCompleted;
    }

    /** Returns the request in terms of its protocol. */
    public Q message() {
        return message;
    }

    /** Returns the body of the request. */
    public RequestBody body() {
        return body;
    }

    /** Returns how long the attempt was allowed to take from its start, in nanoseconds. */
    public long timeoutNanos() {
        return timeoutNanos;
    }

    /** Returns whether the attempt has ended. */
    public boolean isCompleted() {
        return state == State.COMPLETED;
    }

    /** Returns whether the last byte was written, so that the server may have run it; also after the end. */
    public boolean isWritten() {
        return written;
    }

    /** Returns whether the last byte was passed to the connection, which has perhaps not written it yet. */
    public boolean isHandedOver() {
        return state == State.HANDED_OVER || state == State.WRITTEN;
    }

    /**
     * Starts the timeout: the response has to be complete or to start within {@code nanoseconds}. Does nothing
     * if the timeout was started before or the attempt has ended.
     */
    public void startTimeout(long nanoseconds) {
        if (!isCompleted() && timeout == null) {
            timeout = scheduler.schedule(nanoseconds, this::timedOut);
        }
    }

    /** Cancels the timeout; the attempt may take as long as it likes from now on. */
    public void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel();
        }
    }

    /** Assigns a connection, which {@code closer} closes if the attempt ends without a response. */
    void assignConnection(Runnable closer) {
        closeConnection = closer;
    }

    /** Records that the connection begins to write the attempt. */
    public void writeStarted() {
        if (state == State.PENDING) {
            state = State.WRITING;
        }
    }

    /** Records that the last byte was passed to the connection. */
    public void handedOver() {
        if (!isCompleted()) {
            state = State.HANDED_OVER;
            body.stopReading();
        }
    }

    /** Records that the last byte was written. */
    public void requestWritten() {
        written = true;
        if (!isCompleted()) {
            state = State.WRITTEN;
        }
        onWrittenOrCompleted.accept(this);
        listener.requestWritten();
    }

    /** Cancels the attempt and closes its connection; does nothing after its end. */
    public void cancel() {
        abort(Outcome.CANCELLED);
    }

    private void timedOut() {
        abort(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
    }

    /** Ends the attempt because its connection was lost or could not be established. */
    public void connectionLost() {
        abort(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
    }

    /**
     * Starts a streamed response, which has no timeout.
     *
     * @param length length of the response's body in bytes; -1 where it is not known
     */
    public void responseStarted(A firstPart, long length, FlowControl flowControl) {
        cancelTimeout();
        listener.responseStarted(this, firstPart, length, flowControl);
    }

    /** Passes on the next bytes of a streamed response; the listener takes ownership of the buffer. */
    public void responseData(ByteBuf bytes) {
        listener.responseData(bytes);
    }

    /** Ends the attempt without a response and closes its connection; does nothing after its end. */
    public void abort(Outcome outcome) {
        if (!isCompleted()) {
            closeConnection.run();
            complete(outcome, null, NO_LOAD_REPORT);
        }
    }

    /** Ends the attempt with what its connection, which stays open, has received; does nothing after its end. */
    public void complete(Outcome outcome, A response, float[] loadReport) {
        if (isCompleted()) {
            return;
        }
        boolean readsBody = state == State.PENDING || state == State.WRITING;
        state = State.COMPLETED;
        cancelTimeout();
        if (readsBody) {
            body.stopReading();
        }
        onWrittenOrCompleted.accept(this);
        listener.attemptCompleted(outcome, response, loadReport);
    }
}
