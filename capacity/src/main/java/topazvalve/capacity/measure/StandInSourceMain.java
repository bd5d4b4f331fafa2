package topazvalve.capacity.measure;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/**
 * Runs a {@link StandInSource} as a separate process. It writes its port to standard output, then reads commands from
 * standard input and writes a reply to each, one per line:
 *
 * <ul>
 *   <li>{@code change N} publishes a change that adds or removes N extra servers, alternately;
 *   <li>{@code whole} publishes a change that adds or removes one extra server, as a complete list;
 *   <li>{@code calls} replies with the number of calls since the last such command.
 * </ul>
 */
final class StandInSourceMain {
    static final String COMMAND_DELTA = "change";
    static final String COMMAND_SNAPSHOT = "whole";
    static final String COMMAND_CALLS = "calls";
    static final String REPLY_PORT = "port";
    static final String REPLY_PUBLISHED = "told";
    static final String REPLY_CALLS = "calls";

    private static final int MAX_REQUEST_BYTES = 1 << 12;
    private static final int BACKLOG = 8192;

    private StandInSourceMain() {}

    /**
     * Runs a source until standard input ends.
     *
     * @param args the number of listed servers, the calls per second (0: unbounded), the timeout of a waiting call and
     *     the interval between heartbeats, both in milliseconds
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        StandInSource source = new StandInSource(
                loop,
                Integer.parseInt(args[0]),
                Double.parseDouble(args[1]),
                Long.parseLong(args[2]),
                Long.parseLong(args[3]));
        Channel listener = listen(group, source);
        System.out.println(REPLY_PORT + " " + ((InetSocketAddress) listener.localAddress()).getPort());
        BufferedReader commands = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = commands.readLine(); line != null; line = commands.readLine()) {
            String[] command = line.split(" ");
            loop.execute(() -> System.out.println(execute(source, command)));
        }
        System.exit(0);
    }

    private static Channel listen(MultiThreadIoEventLoopGroup group, StandInSource source) throws InterruptedException {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES), source);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
    }

    private static String execute(StandInSource source, String[] command) {
        return switch (command[0]) {
            case COMMAND_CALLS -> REPLY_CALLS + " " + source.getAndResetCallCount();
            case COMMAND_SNAPSHOT -> describe(source.publishSnapshot());
            case COMMAND_DELTA -> describe(source.publishDelta(Integer.parseInt(command[1])));
            default -> throw new IllegalArgumentException("unknown command: " + command[0]);
        };
    }

    private static String describe(PublishedChange change) {
        return REPLY_PUBLISHED + " " + change.publishedAtNanos() + " " + change.revision();
    }
}
