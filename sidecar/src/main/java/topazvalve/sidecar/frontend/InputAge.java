package topazvalve.sidecar.frontend;

import io.netty.channel.Channel;
import topazvalve.core.net.ClientChannel;
import topazvalve.core.time.EventLoopScheduler;
import topazvalve.core.time.Scheduler;

/**
 * Tells since when input of one client connection may have lain in its socket when it is read: since a stall of the
 * event loop began, or since the connection began to wait for being accepted; but not before the previous response was
 * written, unless the client sends requests without waiting for responses.
 */
final class InputAge {
    /** A shorter wait for the accept makes no difference. */
    private static final long MIN_WAIT_NANOS = 10_000_000;

    private final Scheduler scheduler;
    private final long connectedSinceNanos;
    /** Whether the input that is read now may have been there when the connection was accepted. */
    private boolean mayPrecedeAccept;
    /** Whether input has been read that did not wait for a response. */
    private boolean pipelined;
    /** Whether a response has begun to be written. */
    private boolean responded;
    /** When the latest response began to be written. */
    private long respondedSinceNanos;

    /** Creates the age of a connection that has just been accepted. */
    InputAge(Scheduler scheduler, Channel channel) {
        this.scheduler = scheduler;
        this.connectedSinceNanos = ClientChannel.connectedSinceNanos(channel);
        if (System.nanoTime() - connectedSinceNanos > MIN_WAIT_NANOS) {
            mayPrecedeAccept = true;
            EventLoopScheduler.afterNextSelect(
                    channel.eventLoop(),
                    () -> EventLoopScheduler.afterNextSelect(channel.eventLoop(), () -> mayPrecedeAccept = false));
        }
    }

    /** Records that a response is about to be written: a process is often stopped at the end of the write. */
    void responseBegins() {
        responded = true;
        respondedSinceNanos = System.nanoTime();
    }

    /** Records that the client does not wait for its responses. */
    void pipelinedInput() {
        pipelined = true;
    }

    /** Returns since when input that is read now may have lain in the socket, as a {@link System#nanoTime}. */
    long sinceNanos() {
        long stalledSinceNanos = System.nanoTime() - scheduler.maxInputAgeNanos();
        boolean waitedLonger = mayPrecedeAccept && connectedSinceNanos - stalledSinceNanos < 0;
        long sinceNanos = waitedLonger ? connectedSinceNanos : stalledSinceNanos;
        boolean followsResponse = responded && !pipelined && respondedSinceNanos - sinceNanos > 0;
        return followsResponse ? respondedSinceNanos : sinceNanos;
    }
}
