package topazvalve.core.pool;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import topazvalve.core.stream.ByteBudget;
import topazvalve.policy.LoadBalancer.Outcome;

/**
 * One connection to a server: CONNECTING, then LEASED to one attempt after the other and IDLE between them,
 * and CLOSED from any of these.
 */
public final class PooledConnection<Q, A> {
    private enum State {
        CONNECTING,
        LEASED,
        IDLE,
        CLOSED
    }

    private static final RecvByteBufAllocator READS =
            new AdaptiveRecvByteBufAllocator(64, 2048, ByteBudget.MIN_QUOTA_BYTES);

    private final ConnectionPools<Q, A> owner;
    private final EventLoop loop;
    private final EndpointPool<Q, A> pool;
    private final ConnectionHandler<Q, A> carrier;
    private State state = State.CONNECTING;
    private Channel channel;
    private long idleSince;
    /** What waits for this idle connection while it rests; null if nothing does. */
    private Attempt<Q, A> waiting;

    PooledConnection(ConnectionPools<Q, A> owner, EventLoop loop, EndpointPool<Q, A> pool, Codec<Q, A> codec) {
        this.owner = owner;
        this.loop = loop;
        this.pool = pool;
        this.carrier = codec.newConnectionHandler(this);
    }

    /** Connects, and carries this attempt as its first. */
    void open(Attempt<Q, A> first, int connectTimeoutMs) {
        first.carried(this::close);
        pool.opens(this);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, READS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        channel = made;
                        owner.opened();
                        made.closeFuture().addListener(closed -> owner.closed());
                        carrier.configure(made);
                    }
                })
                .connect(pool.address())
                .addListener(done -> connected(first, done.isSuccess()));
    }

    private void connected(Attempt<Q, A> first, boolean success) {
        if (channel == null) {
            // No socket could be made, which is no fault of the server's; told elsewhere.
            pool.left(this);
            loop.execute(() -> first.complete(Outcome.NEVER_SENT));
        } else if (!success) {
            close();
            first.connectionLost();
        } else if (first.isCompleted()) {
            close();
        } else {
            state = State.LEASED;
            carrier.startAttempt(first);
        }
    }

    /** Carries another attempt after so many nanoseconds; one that closes meanwhile is replaced at once. */
    void reserve(Attempt<Q, A> next, long rest) {
        waiting = next;
        loop.schedule(this::rested, Math.max(0, rest), TimeUnit.NANOSECONDS);
    }

    private void rested() {
        Attempt<Q, A> next = waiting;
        if (next == null) {
            return;
        }
        waiting = null;
        if (!channel.isActive() || spoilt()) {
            close();
            owner.replace(pool, next);
        } else if (next.isCompleted()) {
            pool.idles(this);
        } else {
            lease(next);
        }
    }

    /** Carries another attempt. */
    void lease(Attempt<Q, A> next) {
        pool.leases(this);
        state = State.LEASED;
        next.carried(this::close);
        carrier.startAttempt(next);
    }

    /** Its server takes nothing new. */
    void draining() {
        if (state == State.LEASED) {
            carrier.draining();
        }
    }

    /** Whether nobody's attempt may follow, since more has come than was asked for. */
    boolean spoilt() {
        return carrier.hasUnexpectedData();
    }

    /** When it was last given back; {@link System#nanoTime}. */
    long idleSince() {
        return idleSince;
    }

    public InetSocketAddress address() {
        return pool.address();
    }

    /** The attempt is through: another may follow, or it is closed if its server takes no more. */
    public void release() {
        if (state == State.LEASED && pool.ready() && channel.isActive()) {
            state = State.IDLE;
            idleSince = System.nanoTime();
            pool.idles(this);
        } else {
            close();
        }
    }

    /** Nothing more goes over it. */
    public void close() {
        if (state != State.CLOSED) {
            state = State.CLOSED;
            pool.left(this);
            carrier.closing();
        }
        Attempt<Q, A> next = waiting;
        waiting = null;
        if (next != null) {
            // Not from within this call: what closes it may be at work on its pool.
            loop.execute(() -> owner.replace(pool, next));
        }
        if (channel != null) {
            channel.close();
        }
    }
}
