package topazvalve.sidecar.frontend;

import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import topazvalve.core.time.TurnQueue;

/**
 * Decides when the input of one client connection is read. Usually that is at once. A connection that exceeds its
 * {@link OperationQuota} is read and processed in turns only, until it has been silent for a while; so a client that
 * sends at full speed takes no time from the others. A client that waits for its responses may send the next request at
 * any time. Large bodies are read in turns, too, but in larger pieces.
 */
final class InputPacing {
    /** Charged for a read in a turn, which happens after it. */
    private static final long READ_NANOS = 20_000;
    /** The same for a read of a body, which is written to a server as well. */
    private static final long BULK_READ_NANOS = 100_000;
    /** Charged for a response of the sidecar's own, which a client may make it repeat at once, on a new connection. */
    private static final long LOCAL_RESPONSE_NANOS = 300_000;
    /** If a requested read has not happened for so long, there is nothing to read. */
    private static final long EMPTY_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private enum Mode {
        /** Input is read and processed at once. */
        IMMEDIATE,
        /** Large parts of a body are read in turns. */
        BULK,
        /** Input is read and processed in turns, in small pieces. */
        PACED,
        /** As {@link #PACED}, until the connection is closed. */
        PACED_FOR_GOOD
    }

    private final Channel channel;
    private final Supplier<InputTurns> turns;
    private final TurnQueue.Member member;
    private final PacedReceiveBuffers receiveBuffers = new PacedReceiveBuffers();
    private final OperationQuota quota = new OperationQuota(System.nanoTime());
    private Mode mode = Mode.IMMEDIATE;
    /** Whether the client has not waited for its responses since the connection is paced. */
    private boolean pipelining;
    /** Whether the connection is to be read at all. */
    private boolean reading = true;
    /** Whether the next read in a turn is requested and has not happened yet. */
    private boolean readRequested;

    private long readRequestedNanos;
    /** Forwards a request; null unless it waits for its turn. */
    private Runnable deferredForwarding;
    /** Whether this connection holds a slot of {@link PacedForwarding}. */
    private boolean holdsForwardingSlot;

    private final Runnable forwardingTurn = this::forwardDeferred;

    /**
     * Creates the pacing of a connection.
     *
     * @param turns returns null as long as connections are not paced
     */
    InputPacing(Channel channel, Supplier<InputTurns> turns, TurnQueue.Member member) {
        this.channel = channel;
        this.turns = turns;
        this.member = member;
        channel.config().setRecvByteBufAllocator(receiveBuffers);
    }

    /** Returns whether connections are paced at all. */
    boolean isEnabled() {
        return turns.get() != null;
    }

    /** Returns whether the connection is to be read, at once or in its turns. */
    boolean isReading() {
        return reading;
    }

    /** Returns whether large parts of a body are being read in turns. */
    boolean isBulk() {
        return mode == Mode.BULK;
    }

    /** Returns whether input may be processed only in turns. */
    boolean isPaced() {
        return mode == Mode.PACED || mode == Mode.PACED_FOR_GOOD;
    }

    /** Returns whether the connection was to be read for a while and nothing came. */
    boolean awaitsInput(long nowNanos) {
        return readRequested && nowNanos - readRequestedNanos > EMPTY_AFTER_NANOS;
    }

    /** Sets whether the connection is to be read. */
    void setReading(boolean enabled) {
        reading = enabled;
        if (mode == Mode.IMMEDIATE) {
            channel.config().setAutoRead(enabled);
        } else if (enabled) {
            requestTurn();
        }
    }

    /**
     * Records a read or a decoded message. Beyond the quota the connection is paced until it has sent nothing for a
     * while; that its turns are rare does not count.
     */
    void recordOperation() {
        if (!isEnabled() || mode == Mode.PACED_FOR_GOOD) {
            return;
        }
        long nowNanos = System.nanoTime();
        boolean quiet = quota.isFull(nowNanos) && (mode == Mode.IMMEDIATE || awaitsInput(nowNanos));
        quota.charge(nowNanos);
        if (quota.isExhausted(nowNanos)) {
            switchTo(Mode.PACED);
        } else if (quiet || mode == Mode.BULK) {
            switchTo(Mode.IMMEDIATE);
        }
    }

    /** Records that so much waits behind a request that its client does not wait for responses. */
    void recordBacklog() {
        if (isEnabled() && !isPaced()) {
            switchTo(Mode.PACED);
        }
    }

    /** Records a large part of a body, which costs little for its size and uses up nothing of the quota. */
    void recordBulkData() {
        if (isEnabled() && (mode == Mode.IMMEDIATE || (mode == Mode.PACED && quota.isFull(System.nanoTime())))) {
            switchTo(Mode.BULK);
        }
    }

    /** Reads the connection in turns only until it is closed, whatever it sends. */
    void paceForGood() {
        if (isEnabled()) {
            switchTo(Mode.PACED_FOR_GOOD);
        }
    }

    private void switchTo(Mode next) {
        if (next == mode) {
            return;
        }
        if (mode == Mode.BULK) {
            turns.get().bulk().remove(member);
        }
        mode = next;
        pipelining &= isPaced();
        receiveBuffers.limit(mode != Mode.IMMEDIATE, isPaced());
        channel.config().setAutoRead(mode == Mode.IMMEDIATE && reading);
        if (mode != Mode.IMMEDIATE) {
            readRequested = false;
            requestTurn();
        }
    }

    /**
     * Returns whether a response of the sidecar's own may be written now. If not, it is due in the requested turn, and
     * the connection is paced from now on.
     */
    boolean mayRespond() {
        if (!isEnabled() || turns.get().small().tryCharge(LOCAL_RESPONSE_NANOS)) {
            return true;
        }
        if (!isPaced()) {
            switchTo(Mode.PACED);
        }
        requestTurn();
        return false;
    }

    /** Records that a response of the sidecar's own is written in a turn. */
    void respondedInTurn() {
        turns.get().small().chargePrice(LOCAL_RESPONSE_NANOS);
    }

    /** Charges work that the input of a paced connection causes outside of its turns. */
    void charge(long nanos) {
        if (isPaced()) {
            turns.get().small().charge(nanos);
        }
    }

    /** Records that a response was written and that nothing is known to follow its request. */
    void responseAwaited() {
        if (!isEnabled() || pipelining || mode == Mode.PACED_FOR_GOOD) {
            return;
        }
        quota.fill(System.nanoTime());
        switchTo(Mode.IMMEDIATE);
    }

    /** Records that the client sends requests without waiting for responses. */
    void recordPipelining() {
        pipelining = true;
    }

    /**
     * Forwards a request: at once, or in a turn if the connection is paced and its client does not wait. The request
     * waits for its turn until it ends ({@link #requestEnded}).
     */
    void forwardInTurn(Runnable forward) {
        if (!isPaced() || !pipelining) {
            forward.run();
        } else if (turns.get().forwarding().tryAcquire()) {
            holdsForwardingSlot = true;
            forward.run();
        } else {
            deferredForwarding = forward;
            turns.get().forwarding().add(forwardingTurn);
        }
    }

    /** Returns whether a request waits for its turn to be forwarded. */
    boolean isForwardingDeferred() {
        return deferredForwarding != null;
    }

    private void forwardDeferred() {
        Runnable forward = deferredForwarding;
        deferredForwarding = null;
        holdsForwardingSlot = true;
        forward.run();
    }

    /** Records that the request of the connection has ended, whether or not it was forwarded. */
    void requestEnded() {
        if (deferredForwarding != null) {
            deferredForwarding = null;
            turns.get().forwarding().remove(forwardingTurn);
        }
        if (holdsForwardingSlot) {
            holdsForwardingSlot = false;
            turns.get().forwarding().release();
        }
    }

    /** Requests a turn. */
    void requestTurn() {
        if (isEnabled()) {
            queue().add(member);
        }
    }

    private TurnQueue queue() {
        return mode == Mode.BULK ? turns.get().bulk() : turns.get().small();
    }

    /** Reads once, in a turn without input that could be processed; returns whether the read was requested now. */
    boolean readInTurn() {
        if (mode == Mode.IMMEDIATE || !reading || readRequested) {
            return false;
        }
        readRequested = true;
        readRequestedNanos = System.nanoTime();
        queue().charge(mode == Mode.BULK ? BULK_READ_NANOS : READ_NANOS);
        channel.read();
        return true;
    }

    /** Called after a read. */
    void readCompleted() {
        readRequested = false;
        if (mode != Mode.IMMEDIATE) {
            requestTurn();
        }
    }

    /** Ends the pacing of a connection that is closed. */
    void close() {
        if (isEnabled()) {
            turns.get().small().remove(member);
            turns.get().bulk().remove(member);
        }
    }
}
