package topazvalve.hollowfleet.hollow;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.HashSet;
import java.util.Set;

/**
 * Counts the bytes of one sidecar's connections without changes to the sidecar's code. The sidecar uses a proxy of the
 * event loop, which inserts this handler at the head of the pipeline of each connection that is registered. Confined
 * to one event loop.
 */
@ChannelHandler.Sharable
final class TrafficCounter extends ChannelDuplexHandler {
    private static final String REGISTER_METHOD = "register";

    private final EventLoop loop;
    private final Set<Channel> channels = new HashSet<>();
    private boolean readingEnabled = true;
    private long bytes;

    TrafficCounter(EventLoop loop) {
        this.loop = loop;
    }

    /** Returns a proxy of the event loop that counts the bytes of all connections registered with it. */
    EventLoop countedLoop() {
        return (EventLoop) Proxy.newProxyInstance(
                EventLoop.class.getClassLoader(), new Class<?>[] {EventLoop.class}, this::invoke);
    }

    private Object invoke(Object proxy, Method method, Object[] arguments) throws Throwable {
        if (method.getName().equals(REGISTER_METHOD) && arguments[0] instanceof Channel channel) {
            addChannel(channel);
        }
        try {
            return method.invoke(loop, arguments);
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }

    private void addChannel(Channel channel) {
        channels.add(channel);
        channel.closeFuture().addListener(closed -> channels.remove(channel));
        channel.pipeline().addFirst(this);
        channel.config().setAutoRead(readingEnabled);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        countBytes(message);
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        countBytes(message);
        context.write(message, promise);
    }

    private void countBytes(Object message) {
        if (message instanceof ByteBuf buffer) {
            bytes += buffer.readableBytes();
        }
    }

    /** Enables or disables reading from the sidecar's connections; while it is disabled, the peer's writes block. */
    void setReadingEnabled(boolean enabled) {
        readingEnabled = enabled;
        channels.forEach(channel -> channel.config().setAutoRead(enabled));
    }

    /** Returns the bytes read and written so far, without TCP and IP headers. */
    long bytes() {
        return bytes;
    }
}
