package topazvalve.sidecar;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import java.util.concurrent.atomic.AtomicInteger;
import topazvalve.core.time.EventLoopScheduler;

/** Counts the descriptors that a listener's connections hold: a closed one's until the loop's next look. */
final class OpenConnections {
    private int now;
    private volatile int most;
    private final AtomicInteger taken = new AtomicInteger();

    ChannelHandler counting(ChannelHandler each) {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel made) {
                now++;
                taken.incrementAndGet();
                most = Math.max(most, now);
                made.closeFuture()
                        .addListener(closed -> EventLoopScheduler.afterNextSelect(made.eventLoop(), () -> now--));
                made.pipeline().addLast(each);
            }
        };
    }

    /** The most at a time so far. */
    int most() {
        return most;
    }

    int taken() {
        return taken.get();
    }
}
