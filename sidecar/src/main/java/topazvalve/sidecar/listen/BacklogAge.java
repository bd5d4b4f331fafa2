package topazvalve.sidecar.listen;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.function.LongSupplier;
import topazvalve.core.net.ClientChannel;
import topazvalve.core.time.EventLoopScheduler;

/**
 * Tells since when the connections of a listener may have waited in the kernel's backlog: since a stall of the event
 * loop began, since accepting was paused, or since a read accepted as many as it may and left the others. Used only on
 * the event loop.
 */
final class BacklogAge {
    private final LongSupplier maxInputAgeNanos;
    /** Whether connections may wait that are older than the present stall, if there is one. */
    private boolean mayBeOlder;
    /** Since when, as a {@link System#nanoTime}; valid only if {@link #mayBeOlder}. */
    private long olderSinceNanos;

    private boolean accepting = true;
    private int maxAccepts = 1;
    private int acceptedInRead;
    private long reads;

    BacklogAge(LongSupplier maxInputAgeNanos) {
        this.maxInputAgeNanos = maxInputAgeNanos;
    }

    private long sinceNanos() {
        long stalledSinceNanos = System.nanoTime() - maxInputAgeNanos.getAsLong();
        return mayBeOlder && olderSinceNanos - stalledSinceNanos < 0 ? olderSinceNanos : stalledSinceNanos;
    }

    /** Returns whether connections may have waited for longer than this because reads left them. */
    boolean isOlderThan(long nanos) {
        return mayBeOlder && System.nanoTime() - olderSinceNanos > nanos;
    }

    /** Records whether connections are accepted, and how many in one read. */
    void acceptingChanged(EventLoop loop, boolean nowAccepting, int nowMaxAccepts) {
        if (acceptedInRead == 0) {
            maxAccepts = nowMaxAccepts;
        }
        if (accepting && !nowAccepting) {
            becomeOlder();
        } else if (!accepting && nowAccepting) {
            forgetUnlessRead(loop);
        }
        accepting = nowAccepting;
    }

    /** Records an accepted connection and tells it since when it may have waited. */
    void accepted(Channel channel) {
        acceptedInRead++;
        if (channel instanceof ClientChannel client) {
            client.acceptedAfterWait(sinceNanos());
        }
    }

    /** Records the end of a read, after which more connections may wait if it accepted as many as it may. */
    void readCompleted(EventLoop loop) {
        reads++;
        if (acceptedInRead >= maxAccepts || !accepting) {
            becomeOlder();
            forgetUnlessRead(loop);
        } else {
            mayBeOlder = false;
        }
        acceptedInRead = 0;
    }

    private void becomeOlder() {
        olderSinceNanos = sinceNanos();
        mayBeOlder = true;
    }

    /** If the next select finds no connection to accept, none was left. */
    private void forgetUnlessRead(EventLoop loop) {
        long readsBefore = reads;
        EventLoopScheduler.afterNextSelect(loop, () -> {
            if (reads == readsBefore && accepting) {
                mayBeOlder = false;
            }
        });
    }
}
