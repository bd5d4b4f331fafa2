package topazvalve.sidecar.frontend;

import io.netty.channel.EventLoop;
import topazvalve.core.time.EventLoopScheduler;

/**
 * Tells since when bytes of one client, among them the last of its request, may lie unread in the sockets because the
 * sidecar does not read them. The client's time runs from its last byte, whether or not that was read.
 */
final class UnreadInput {
    /** How much the sockets of both ends may hold, as far as Linux lets them grow by itself. */
    private static final long MAX_SOCKET_BYTES = 10 << 20;

    private final EventLoop loop;
    private boolean mayBeUnread;
    private long sinceNanos;
    private long reads;

    UnreadInput(EventLoop loop) {
        this.loop = loop;
    }

    /** Records a read; {@code drained} if it left nothing in the socket. */
    void read(boolean drained) {
        reads++;
        if (drained) {
            mayBeUnread = false;
        } else {
            mayArrive();
        }
    }

    /** Records that reading has stopped, so that whatever arrives from now on lies unread. */
    void readingPaused() {
        mayArrive();
    }

    /** Records that the socket is to be read. If the next select finds nothing, nothing lies unread. */
    void readRequested() {
        if (!mayBeUnread) {
            return;
        }
        long readsBefore = reads;
        EventLoopScheduler.afterNextSelect(loop, () -> {
            if (reads == readsBefore) {
                mayBeUnread = false;
            }
        });
    }

    private void mayArrive() {
        if (!mayBeUnread) {
            mayBeUnread = true;
            sinceNanos = System.nanoTime();
        }
    }

    /**
     * Returns whether the last byte of a body may lie unread for longer than a time.
     *
     * @param missingBytes how many bytes of the body were not read yet; 0 if that is unknown
     */
    boolean mayHoldLastByteFor(long nanos, long nowNanos, long missingBytes) {
        return mayBeUnread && missingBytes <= MAX_SOCKET_BYTES && nowNanos - sinceNanos > nanos;
    }
}
