package topazvalve.tcp;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.function.ToLongFunction;
import java.util.function.UnaryOperator;
import topazvalve.core.stream.ByteBudget;

/** A listener for streams within the test process, on an ephemeral port. */
final class TestListener implements AutoCloseable {
    private static final String FILE_TEMPLATE = """
            [[listener]]
            name = "it"
            protocol = "tcp"
            listen = "127.0.0.1:0"
            servers = [%s]
            draining = [%s]
            most_per_client = 20000
            connect_timeout = "1s"
            connect_deadline = "3s"
            """;

    private static final long POLL_MILLIS = 5;
    private static final long MAX_BLOCKED_SECONDS = 30;
    private static final long SEED = 7;
    private static final long BUDGET_BYTES = 64 << 20;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final TcpProxy proxy;
    final InetSocketAddress address;
    private final UnaryOperator<String> fileEdit;
    private final List<InetSocketAddress> servers;

    /** Starts a listener with these servers, and with {@code fileEdit} applied to the operator's file. */
    TestListener(List<InetSocketAddress> servers, UnaryOperator<String> fileEdit) throws Exception {
        this.servers = servers;
        this.fileEdit = fileEdit;
        proxy = new TcpProxy(loop, settings(List.of()), SEED, new ByteBudget(BUDGET_BYTES));
        loop.submit(proxy::start).sync();
        address = (InetSocketAddress) new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 4096)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(proxy.connectionInitializer())
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel()
                .localAddress();
    }

    private TcpSettings settings(List<InetSocketAddress> draining) {
        return TcpFile.parse("it.toml", fileEdit.apply(FILE_TEMPLATE.formatted(quoted(servers), quoted(draining))))
                .get(0);
    }

    private static String quoted(List<InetSocketAddress> addresses) {
        return String.join(
                ", ",
                addresses.stream()
                        .map(address -> "\"" + address.getAddress().getHostAddress() + ":" + address.getPort() + "\"")
                        .toList());
    }

    /** Makes these servers drain, like a reload of the file. */
    void setDraining(List<InetSocketAddress> draining) {
        startDraining(draining).syncUninterruptibly();
    }

    /** Makes these servers drain in the next iteration of the event loop, before it reads from its sockets. */
    Future<?> startDraining(List<InetSocketAddress> draining) {
        TcpSettings newSettings = settings(draining);
        return loop.submit(() -> proxy.settingsChanged(newSettings));
    }

    /**
     * Blocks the event loop, so that everything that arrives meanwhile is handled in one iteration.
     *
     * @return the latch that unblocks the loop when it is counted down
     */
    CountDownLatch blockEventLoop() throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> {
            blocked.countDown();
            try {
                release.await(MAX_BLOCKED_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        });
        blocked.await();
        return release;
    }

    /** Reads a counter on the event loop. */
    long count(ToLongFunction<StreamCounters> counter) throws Exception {
        return loop.submit(() -> counter.applyAsLong(proxy.counters())).get();
    }

    /** Waits until a counter meets the condition or the timeout expires; returns its last value. */
    long awaitCount(ToLongFunction<StreamCounters> counter, LongPredicate condition, int timeoutSeconds)
            throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
        while (!condition.test(count(counter)) && System.nanoTime() < deadlineNanos) {
            Thread.sleep(POLL_MILLIS);
        }
        return count(counter);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
