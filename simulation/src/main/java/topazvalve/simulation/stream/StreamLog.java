package topazvalve.simulation.stream;

import java.util.concurrent.CountDownLatch;

/** What both ends of a stream observed. Each half is written on its event loop and read when both ends have closed. */
final class StreamLog {
    /** How an end saw its peer's half of the stream end. */
    enum PeerEnd {
        NOTHING,
        END,
        RESET
    }

    /** The observations of one end. */
    static final class Half {
        volatile long sent;
        volatile long received;
        volatile boolean corrupted;
        volatile boolean ended;
        volatile boolean reset;
        volatile PeerEnd peerEnd = PeerEnd.NOTHING;
    }

    final long number;
    final StreamPlan plan;
    final Half client = new Half();
    final Half server = new Half();
    final CountDownLatch finished = new CountDownLatch(1);
    /** The number of the server that the stream reached; -1 for none. */
    volatile int servedBy = -1;

    volatile long openedAt;
    /** Whether the server was killed while it served the stream. */
    volatile boolean killed;

    StreamLog(long number, StreamPlan plan) {
        this.number = number;
        this.plan = plan;
    }

    /** Describes how the two ends disagree, or returns null if they agree. Bytes may be missing only after a reset. */
    String mismatch() {
        String upMismatch = directionMismatch("up", client, server);
        return upMismatch != null ? upMismatch : directionMismatch("down", server, client);
    }

    private String directionMismatch(String name, Half from, Half to) {
        String description = "stream " + number + " " + name + " of " + plan + " killed=" + killed + ": sent "
                + from.sent + (from.ended ? " and ended" : "") + (from.reset ? " and reset" : "") + ", received "
                + to.received + " " + to.peerEnd;
        if (to.corrupted) {
            return description + ", corrupted bytes";
        }
        if (to.received > from.sent) {
            return description + ", more than was sent";
        }
        if (to.peerEnd == PeerEnd.END && (!from.ended || to.received != from.sent)) {
            return description + ", end of stream before the sender closed or before its last byte";
        }
        boolean broken = killed || client.reset || server.reset;
        if (!broken && (to.peerEnd != PeerEnd.END || to.received != from.sent)) {
            return description + ", incomplete although no fault occurred";
        }
        if (from.reset && to.peerEnd == PeerEnd.NOTHING && !to.ended) {
            return description + ", reset not propagated";
        }
        return null;
    }
}
