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
 * Counts the bytes of one instance's connections, from outside: the event loop that the instance is given is
 * the real one but for the moment in which a connection is registered, when a counter is put under all that
 * the program puts there. Nothing else is changed. On one loop.
 */
@ChannelHandler.Sharable
final class TrafficCounter extends ChannelDuplexHandler {
    private final EventLoop loop;
    private final Set<Channel> channels = new HashSet<>();
    private boolean reading = true;
    private long bytes;
    private long connections;

    TrafficCounter(EventLoop loop) {
        this.loop = loop;
    }

    /** The loop as the instance is to know it. */
    EventLoop tapped() {
        return (EventLoop)
                Proxy.newProxyInstance(EventLoop.class.getClassLoader(), new Class<?>[] {EventLoop.class}, this::call);
    }

    private Object call(Object proxy, Method method, Object[] arguments) throws Throwable {
        if (method.getName().equals("register") && arguments[0] instanceof Channel made) {
            connections++;
            channels.add(made);
            made.closeFuture().addListener(closed -> channels.remove(made));
            made.pipeline().addFirst(this);
            made.config().setAutoRead(reading);
        }
        try {
            return method.invoke(loop, arguments);
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        bytes += message instanceof ByteBuf read ? read.readableBytes() : 0;
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        bytes += message instanceof ByteBuf written ? written.readableBytes() : 0;
        context.write(message, promise);
    }

    /** Whether the instance's connections are read; one that does not read holds up who writes. */
    void reading(boolean on) {
        reading = on;
        channels.forEach(each -> each.config().setAutoRead(on));
    }

    /** Bytes read and written so far, without what TCP and IP add. */
    long bytes() {
        return bytes;
    }

    /** Connections that were begun. */
    long connections() {
        return connections;
    }
}
