package topazvalve.core.pool;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.time.Scheduler;
import topazvalve.core.trace.EventTrace;
import topazvalve.policy.Outcome;

/**
 * One connection to an endpoint. It is CONNECTING at first, then LEASED to one attempt after another and IDLE between
 * them; from each of these states it can become CLOSED. An idle connection may be reserved for an attempt until its
 * reuse delay is over; it remains IDLE until then. If no socket could be opened, the connection remains CONNECTING.
 *
 * @param <Q> request type of the protocol
 * @param <A> response type of the protocol
 */
public final class PooledConnection<Q, A> {
    private enum State {
        CONNECTING,
        LEASED,
        IDLE,
        CLOSED
    }

    /** How long a permission to write holds. */
    private static final long PERMISSION_VALID_NANOS = 1_000_000;
    /** A first write that comes later would tell the server a time that is too old; the slack of that is 0.15 s. */
    private static final long MAX_FIRST_WRITE_DELAY_NANOS = 100_000_000;

    /** What a server has not taken yet of a body: its memory is not part of the byte budget. */
    private static final WriteBufferWaterMark WRITE_BUFFER_LIMITS = new WriteBufferWaterMark(8 << 10, 16 << 10);

    private static final int NO_TIMEOUT = 0;
    /** Reads in one iteration of the event loop; what is left waits for the next iteration. */
    private static final int MAX_READS_PER_ITERATION = 4;

    private static final int MIN_RECEIVE_BUFFER_BYTES = 512;
    private static final int INITIAL_RECEIVE_BUFFER_BYTES = 2048;
    private static final RecvByteBufAllocator RECEIVE_BUFFER_ALLOCATOR = new AdaptiveRecvByteBufAllocator(
                    MIN_RECEIVE_BUFFER_BYTES, INITIAL_RECEIVE_BUFFER_BYTES, ByteBudget.MIN_QUOTA_BYTES)
            .maxMessagesPerRead(MAX_READS_PER_ITERATION);

    private final ConnectionPools<Q, A> pools;
    private final EventLoop loop;
    private final EndpointPool<Q, A> pool;
    private final ConnectionHandler<Q, A> handler;
    private State state = State.CONNECTING;
    private ServerChannel channel;
    private final long number;
    /** The process that the connection was opened to. */
    private final int processNumber;

    private int attempts;
    /** The attempt that the connection is leased to; null while it is idle. */
    private Attempt<Q, A> leasedTo;

    /** When the attempt in progress was last permitted to be written. */
    private long permittedAtNanos;
    /** Whether bytes of the attempt in progress were passed to the socket. */
    private boolean firstWriteDone;

    private long idleSinceNanos;
    /** The attempt that this idle connection is reserved for until the reuse delay is over; null if there is none. */
    private Attempt<Q, A> reservedFor;

    PooledConnection(ConnectionPools<Q, A> pools, EventLoop loop, EndpointPool<Q, A> pool, Codec<Q, A> codec) {
        this.pools = pools;
        this.loop = loop;
        this.pool = pool;
        this.number = pools.nextConnectionNumber();
        this.processNumber = pool.processNumber();
        this.handler = codec.newConnectionHandler(this);
    }

    /** Connects to the endpoint and leases the connection to {@code first}. */
    void open(Attempt<Q, A> first, long connectTimeoutNanos) {
        first.assignConnection(() -> close(CloseReason.ATTEMPT_ABORTED));
        EventTrace.attemptWaits(first.message(), number, "being opened");
        pool.add(this);
        // Not Netty's: after a stall that one fires although the connection was established in time.
        Scheduler.Timer connectTimeout = pools.scheduleOnceCaughtUp(connectTimeoutNanos, this::connectTimedOut);
        new Bootstrap()
                .group(loop)
                .channel(ServerChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, NO_TIMEOUT)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, RECEIVE_BUFFER_ALLOCATOR)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_LIMITS)
                .handler(new ChannelInitializer<ServerChannel>() {
                    @Override
                    protected void initChannel(ServerChannel newChannel) {
                        initialize(newChannel);
                    }
                })
                .connect(pool.address())
                .addListener(result -> {
                    connectTimeout.cancel();
                    connectCompleted(first, result.isSuccess());
                });
    }

    /** Ends the connect, which then completes without success. */
    private void connectTimedOut() {
        if (channel != null && !channel.isActive()) {
            channel.close();
        }
    }

    private void initialize(ServerChannel newChannel) {
        channel = newChannel;
        newChannel.guardWrites(this::mayWriteToSocket);
        pools.connectionOpened();
        newChannel.closeFuture().addListener(closed -> pools.connectionClosed());
        handler.configure(newChannel);
    }

    private void connectCompleted(Attempt<Q, A> first, boolean success) {
        if (channel == null) {
            // No socket could be opened, which is not caused by the endpoint. Aborts after this call, not within it.
            pool.remove(this);
            loop.execute(() -> first.abort(Outcome.NEVER_SENT));
        } else if (!success) {
            close(CloseReason.CONNECT_FAILED);
            first.connectionLost();
        } else {
            pools.runOnceCaughtUp(() -> startFirst(first));
        }
    }

    private void startFirst(Attempt<Q, A> first) {
        if (state == State.CLOSED) {
            first.connectionLost();
        } else if (isToAnotherProcess()) {
            close(CloseReason.ENDPOINT_RESTARTED);
            pools.replace(pool, first);
        } else if (mayWrite(first)) {
            start(first, 0);
        } else {
            close(CloseReason.ATTEMPT_ABORTED);
        }
    }

    /** Leases the connection to an attempt after a delay; if it closes before, another one is opened immediately. */
    void reserve(Attempt<Q, A> attempt, long delayNanos) {
        reservedFor = attempt;
        EventTrace.attemptWaits(attempt.message(), number, "resting");
        loop.schedule(() -> pools.runOnceCaughtUp(this::reuseDelayOver), Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
    }

    private void reuseDelayOver() {
        Attempt<Q, A> attempt = reservedFor;
        if (attempt == null) {
            return;
        }
        reservedFor = null;
        if (!isReusable()) {
            pools.replace(pool, attempt);
        } else {
            lease(attempt);
        }
    }

    /**
     * Returns whether the idle connection may carry another request, and closes it if not: data that was received, or
     * is in the socket already, would be taken for the response.
     */
    boolean isReusable() {
        ServerChannel.IdleState idleState = idleState();
        if (idleState == ServerChannel.IdleState.UNREQUESTED_DATA) {
            closeUntrusted();
        } else if (idleState == ServerChannel.IdleState.CLOSED) {
            close(CloseReason.SERVER_CLOSED);
        }
        return idleState == ServerChannel.IdleState.QUIET;
    }

    private ServerChannel.IdleState idleState() {
        if (handler.hasUnexpectedData()) {
            return ServerChannel.IdleState.UNREQUESTED_DATA;
        }
        return channel.isActive() ? channel.idleState() : ServerChannel.IdleState.CLOSED;
    }

    /** Leases the connection to an attempt and starts it. */
    void lease(Attempt<Q, A> attempt) {
        pool.unreserve(this);
        if (mayWrite(attempt)) {
            pools.counters().connectionReused();
            attempt.assignConnection(() -> close(CloseReason.ATTEMPT_ABORTED));
            start(attempt, System.nanoTime() - idleSinceNanos);
        } else {
            keepIdle();
        }
    }

    /** Puts a connection back that was not written to; what ended its attempt may have closed it. */
    private void keepIdle() {
        if (state == State.CLOSED) {
            return;
        }
        if (pool.isReady()) {
            pool.addIdle(this);
        } else {
            close(CloseReason.ENDPOINT_DRAINING);
        }
    }

    /**
     * Checks an attempt right before its first byte is written, and ends it if it may not be written. While it waited
     * for this connection the process may have been held up, and nothing that happened meanwhile has been read.
     */
    private boolean mayWrite(Attempt<Q, A> attempt) {
        // Read before the check: a process is often stopped at the end of a system call, such as the one in the check.
        permittedAtNanos = System.nanoTime();
        WritePermission permission = attempt.writePermission();
        return permission == WritePermission.GRANTED || endUnwritten(attempt, permission);
    }

    /**
     * Checks the attempt in progress again, right before bytes of it are passed to the socket: until its last byte is
     * written, its client may leave and its deadline may pass.
     */
    private boolean mayWriteToSocket() {
        Attempt<Q, A> attempt = leasedTo;
        if (attempt == null || attempt.isCompleted() || attempt.isWritten()) {
            return true;
        }
        long ageNanos = System.nanoTime() - permittedAtNanos;
        if (!firstWriteDone && ageNanos > MAX_FIRST_WRITE_DELAY_NANOS) {
            return endUnwritten(attempt, WritePermission.HELD_UP);
        }
        firstWriteDone = true;
        while (ageNanos > PERMISSION_VALID_NANOS) {
            if (!mayWrite(attempt)) {
                return false;
            }
            ageNanos = System.nanoTime() - permittedAtNanos;
        }
        return true;
    }

    private boolean endUnwritten(Attempt<Q, A> attempt, WritePermission reason) {
        pools.counters().attemptNotWritten(reason);
        EventTrace.attemptNotWritten(attempt.message(), reason);
        if (reason.outcome() != null) {
            attempt.abort(reason.outcome());
        }
        return false;
    }

    /** Writes an attempt that {@link #mayWrite} has just permitted. */
    private void start(Attempt<Q, A> attempt, long idleNanos) {
        EventTrace.connectionLeased(attempt.message(), pool.address(), number, attempts, idleNanos);
        state = State.LEASED;
        attempts++;
        leasedTo = attempt;
        firstWriteDone = false;
        handler.startAttempt(attempt);
    }

    /** Notifies the protocol handler that the endpoint is draining, if an attempt is in progress. */
    void endpointDraining() {
        if (state == State.LEASED) {
            handler.endpointDraining();
        }
    }

    /** Returns whether the connection has carried an earlier attempt, whose server may send more for it at any time. */
    public boolean isReused() {
        return attempts > 1;
    }

    /** Returns whether the server was not seen lately to send data that nobody asked for. */
    public boolean isServerTrusted() {
        return pool.isTrusted(System.nanoTime());
    }

    /** Returns what is in the connection's socket already, a part of it if that is much; the caller must release it. */
    public ByteBuf readPending() {
        return channel.isActive() ? channel.readPending() : Unpooled.EMPTY_BUFFER;
    }

    /** Returns when the connection was last released, as a value of {@link System#nanoTime}. */
    long idleSinceNanos() {
        return idleSinceNanos;
    }

    /** Returns the endpoint's address. */
    public InetSocketAddress address() {
        return pool.address();
    }

    /** Ends the lease: the connection becomes idle, or is closed if it is inactive or the endpoint is not ready. */
    public void release() {
        leasedTo = null;
        long now = System.nanoTime();
        if (state == State.LEASED && !isToAnotherProcess() && pool.mayReuse(now) && channel.isActive()) {
            state = State.IDLE;
            idleSinceNanos = now;
            pool.addIdle(this);
        } else {
            close(reasonNotToReuse());
        }
    }

    private boolean isToAnotherProcess() {
        return processNumber != pool.processNumber();
    }

    private CloseReason reasonNotToReuse() {
        if (isToAnotherProcess()) {
            return CloseReason.ENDPOINT_RESTARTED;
        }
        if (!channel.isActive()) {
            return CloseReason.SERVER_CLOSED;
        }
        return pool.isReady() ? CloseReason.DISTRUSTED : CloseReason.ENDPOINT_DRAINING;
    }

    /** Closes the connection because the server has sent data on it that belongs to no request. */
    public void closeUntrusted() {
        close(CloseReason.UNEXPECTED_DATA);
        pool.unrequestedDataReceived(System.nanoTime());
    }

    /** Aborts the attempt in progress if its response can't be told from data for an earlier one. */
    void abortIfReused() {
        if (state == State.LEASED && isReused() && !handler.mayAwaitResponse()) {
            leasedTo.abortUnattributable();
        }
    }

    /** Closes the connection; an attempt that it is reserved for gets another connection. */
    public void close(CloseReason reason) {
        if (state != State.CLOSED) {
            state = State.CLOSED;
            pools.counters().connectionClosed(reason);
            EventTrace.connectionClosed(number, pool.address(), reason, attempts);
            pool.remove(this);
            handler.connectionClosing();
        }
        Attempt<Q, A> attempt = reservedFor;
        reservedFor = null;
        if (attempt != null) {
            // Deferred, because the caller may be iterating over the pool.
            loop.execute(() -> pools.replace(pool, attempt));
        }
        if (channel != null) {
            channel.close();
        }
    }
}
