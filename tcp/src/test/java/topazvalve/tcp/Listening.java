package topazvalve.tcp;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import topazvalve.core.stream.ByteBudget;

/** A listener for streams in this process, on a port that the system picked. */
final class Listening implements AutoCloseable {
    static final String FILE = """
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

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = group.next();
    final TcpProxy side;
    final InetSocketAddress address;
    private final UnaryOperator<String> change;
    private final List<InetSocketAddress> servers;

    /** Among these servers, with the file's text changed. */
    Listening(List<InetSocketAddress> servers, UnaryOperator<String> change) throws Exception {
        this.servers = servers;
        this.change = change;
        side = new TcpProxy(loop, settings(List.of()), 7, new ByteBudget(64 << 20));
        loop.submit(side::start).sync();
        address = (InetSocketAddress) new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 4096)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(side.connections())
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel()
                .localAddress();
    }

    private TcpSettings settings(List<InetSocketAddress> draining) {
        return TcpFile.parse("it.toml", change.apply(FILE.formatted(quoted(servers), quoted(draining))))
                .get(0);
    }

    private static String quoted(List<InetSocketAddress> addresses) {
        return String.join(
                ", ",
                addresses.stream()
                        .map(each -> "\"" + each.getAddress().getHostAddress() + ":" + each.getPort() + "\"")
                        .toList());
    }

    /** Tells of servers that drain, as a reload of the file does. */
    void draining(List<InetSocketAddress> drained) {
        TcpSettings next = settings(drained);
        loop.submit(() -> side.settingsChanged(next)).syncUninterruptibly();
    }

    long count(java.util.function.ToLongFunction<StreamCounters> what) throws Exception {
        return loop.submit(() -> what.applyAsLong(side.counts())).get();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
