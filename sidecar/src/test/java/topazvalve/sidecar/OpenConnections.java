package topazvalve.sidecar;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import java.util.concurrent.atomic.AtomicInteger;
import topazvalve.core.time.EventLoopScheduler;

/**
 * Counts the file descriptors that a listener's connections hold. A closed connection counts until the event
 * loop's next select, which releases its descriptor.
 */
final class OpenConnections {
    private int open;
    private volatile int maxOpen;
    private final AtomicInteger accepted = new AtomicInteger();

    /** Returns an initializer that counts each accepted connection and then runs {@code connectionInitializer}. */
    ChannelHandler counting(ChannelHandler connectionInitializer) {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                open++;
                accepted.incrementAndGet();
                maxOpen = Math.max(maxOpen, open);
                channel.closeFuture()
                        .addListener(closed -> EventLoopScheduler.afterNextSelect(channel.eventLoop(), () -> open--));
                channel.pipeline().addLast(connectionInitializer);
            }
        };
    }

    /** Returns the largest number of connections that were open at the same time. */
    int maxOpen() {
        return maxOpen;
    }

    /** Returns how many connections were accepted in all. */
    int acceptedCount() {
        return accepted.get();
    }
}
