package topazvalve.core.pool;

import io.netty.buffer.ByteBuf;
import java.util.function.Consumer;
import topazvalve.core.stream.FlowControl;
import topazvalve.core.stream.RequestBody;
import topazvalve.core.time.Scheduler;
import topazvalve.core.trace.EventTrace;
import topazvalve.policy.Outcome;

/**
 * One attempt to have an exchange served by an endpoint. The server cannot have executed the request before its last
 * byte is written; after that it may have.
 *
 * <p>An attempt waits for a connection (PENDING), is passed to the connection (WRITING), has been passed to it
 * completely (HANDED_OVER), and has been written to the socket (WRITTEN). From each of these states it can become
 * COMPLETED. Its listener is notified of the end exactly once. Used only on the event loop.
 *
 * @param <Q> request type of the protocol
 * @param <A> response type of the protocol
 */
public final class Attempt<Q, A> {
    /** The load report of an attempt whose response contained none. */
    public static final float[] NO_LOAD_REPORT = {};

    private static final long NO_LIMIT = Long.MAX_VALUE;
    /** A timer that fires later was delayed by a stall of this process. */
    private static final long MAX_TIMER_DELAY_NANOS = 75_000_000;

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
    private final Consumer<Outcome> onCompleted;
    private State state = State.PENDING;
    private boolean written;
    private boolean responseStarted;
    private Runnable closeConnection = () -> {};
    private Scheduler.Timer timeout;
    private boolean timeoutCancelled;
    private long timesOutAtNanos = NO_LIMIT;
    private long latestStartNanos = NO_LIMIT;

    /**
     * Creates an attempt that waits for a connection.
     *
     * @param timeoutNanos timeout in nanoseconds; it does not run until {@link #startTimeout}
     * @param onWrittenOrCompleted called when the attempt is written and when it is completed
     * @param onCompleted called with the outcome, before the listener
     */
    public Attempt(
            Scheduler scheduler,
            Q message,
            RequestBody body,
            long timeoutNanos,
            AttemptListener<Q, A> listener,
            Consumer<Attempt<Q, A>> onWrittenOrCompleted,
            Consumer<Outcome> onCompleted) {
        this.scheduler = scheduler;
        this.message = message;
        this.body = body;
        this.timeoutNanos = timeoutNanos;
        this.listener = listener;
        this.onWrittenOrCompleted = onWrittenOrCompleted;
        this.onCompleted = onCompleted;
    }

    /** Returns the protocol's request. */
    public Q message() {
        return message;
    }

    /** Returns the body of the request. */
    public RequestBody body() {
        return body;
    }

    /**
     * Returns how long the attempt will still wait, in nanoseconds: what is left of its timeout, which may run while it
     * waits for a connection.
     */
    public long remainingNanos() {
        return timesOutAtNanos == NO_LIMIT ? timeoutNanos : timesOutAtNanos - scheduler.nowNanos();
    }

    /** Returns whether the attempt has ended. */
    public boolean isCompleted() {
        return state == State.COMPLETED;
    }

    /**
     * Returns whether the last byte was written, so that the server may have executed the request. Stays true after the
     * end of the attempt.
     */
    public boolean isWritten() {
        return written;
    }

    /** Returns whether the last byte was passed to the connection, which may not have written it yet. */
    public boolean isHandedOver() {
        return state == State.HANDED_OVER || state == State.WRITTEN;
    }

    /**
     * Starts the timeout: until {@code atNanos}, on the scheduler's clock, a complete response must arrive or a
     * streamed one must start. Does nothing if the timeout was already started or the attempt has ended.
     */
    public void startTimeout(long atNanos) {
        if (!isCompleted() && timeout == null) {
            timesOutAtNanos = atNanos;
            long delayNanos = Math.max(0, atNanos - scheduler.nowNanos());
            // After a stall the response may lie unread in the socket.
            timeout = scheduler.schedule(delayNanos, () -> scheduler.runOnceCaughtUp(this::timedOut));
        }
    }

    /** Cancels the timeout; the attempt has no time limit from now on. */
    public void cancelTimeout() {
        timeoutCancelled = true;
        if (timeout != null) {
            timeout.cancel();
        }
    }

    /** Assigns a connection; {@code closeAction} closes it if the attempt ends without a response. */
    void assignConnection(Runnable closeAction) {
        closeConnection = closeAction;
    }

    /**
     * Sets until when the attempt may be written, on the scheduler's clock. If it gets its connection later, it ends
     * without being written.
     */
    public void setLatestStart(long atNanos) {
        latestStartNanos = atNanos;
    }

    /** Decides whether the attempt may be written now; looks at the client's connection last, which costs most. */
    WritePermission writePermission() {
        if (isCompleted()) {
            return WritePermission.ATTEMPT_ENDED;
        }
        long now = scheduler.nowNanos();
        if (now >= timesOutAtNanos) {
            return WritePermission.DEADLINE_PASSED;
        }
        if (now >= latestStartNanos) {
            return WritePermission.KEY_EXPIRED;
        }
        return listener.isClientConnected() ? WritePermission.GRANTED : WritePermission.CLIENT_DISCONNECTED;
    }

    /** Records that the connection has started to write the attempt. */
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

    /** Cancels the attempt and closes its connection; does nothing if the attempt has ended. */
    public void cancel() {
        abort(Outcome.CANCELLED);
    }

    /** Does nothing if the timeout was cancelled while it waited for a catch-up. */
    private void timedOut() {
        if (timeoutCancelled) {
            return;
        }
        if (written) {
            abort(Outcome.TIMEOUT);
        } else {
            // An attempt that was held up by this process alone says nothing about its server.
            boolean heldUp = scheduler.nowNanos() - timesOutAtNanos > MAX_TIMER_DELAY_NANOS;
            abort(heldUp ? Outcome.NEVER_SENT : Outcome.CONNECT_FAILED);
        }
    }

    /** Ends the attempt because its connection was lost or could not be established. */
    public void connectionLost() {
        abort(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
    }

    /** Ends the attempt because its response can't be told from other data; not if a response was started. */
    void abortUnattributable() {
        if (!responseStarted) {
            abort(written ? Outcome.ERROR : Outcome.CONNECT_FAILED);
        }
    }

    /**
     * Starts a streamed response, which is not subject to the timeout.
     *
     * @param length length of the response body in bytes; -1 if unknown
     */
    public void responseStarted(A firstPart, long length, FlowControl flowControl) {
        cancelTimeout();
        responseStarted = true;
        listener.responseStarted(this, firstPart, length, flowControl);
    }

    /** Forwards the next bytes of a streamed response; the listener takes ownership of the buffer. */
    public void responseData(ByteBuf bytes) {
        listener.responseData(bytes);
    }

    /** Ends the attempt without a response and closes its connection; does nothing if the attempt has ended. */
    public void abort(Outcome outcome) {
        if (!isCompleted()) {
            closeConnection.run();
            complete(outcome, null, NO_LOAD_REPORT);
        }
    }

    /** Ends the attempt with a result and leaves its connection open; does nothing if the attempt has ended. */
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
        onCompleted.accept(outcome);
        EventTrace.attemptEnded(message, outcome, written);
        listener.attemptCompleted(outcome, response, loadReport);
    }
}
