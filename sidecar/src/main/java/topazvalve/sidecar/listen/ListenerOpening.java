package topazvalve.sidecar.listen;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.BindException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Opens a listening socket, and tries again for a while if the system has no socket to give (ENOBUFS, ENFILE, ENOMEM).
 * An address that can't be bound is a mistake of the configuration, for which there is no second try.
 */
public final class ListenerOpening {
    private static final Logger LOG = LoggerFactory.getLogger("topazvalve");
    private static final long RETRY_INTERVAL_MILLIS = 50;
    /** Five seconds in all: the platform allows a start little more. */
    private static final int MAX_RETRIES = 100;

    private final EventLoop loop;
    private final Supplier<ChannelFuture> attempt;
    private final Consumer<ChannelFuture> completion;
    private int retries;

    private ListenerOpening(EventLoop loop, Supplier<ChannelFuture> attempt, Consumer<ChannelFuture> completion) {
        this.loop = loop;
        this.attempt = attempt;
        this.completion = completion;
    }

    /** Calls {@code attempt}, now and on the event loop, and passes the successful or the last future on. */
    public static void open(EventLoop loop, Supplier<ChannelFuture> attempt, Consumer<ChannelFuture> completion) {
        new ListenerOpening(loop, attempt, completion).run();
    }

    private void run() {
        ChannelFuture opened = attempt.get();
        opened.addListener(done -> {
            if (done.isSuccess() || done.cause() instanceof BindException || retries == MAX_RETRIES) {
                completion.accept(opened);
                return;
            }
            if (retries == 0) {
                LOG.warn("cannot listen yet, trying again: {}", done.cause().getMessage());
            }
            retries++;
            loop.schedule(this::run, RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        });
    }
}
