package topazvalve.simulation.stream;

import java.util.concurrent.CountDownLatch;

/** What both ends of a stream observed. Each half is written on its end's event loop, and read when both have ended. */
final class StreamLog {
    /** How an end observed the end of its peer's half. */
    enum PeerEnd {
        NOTHING,
        END,
        RESET
    }

    /** One end's half of the log. */
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
    /** The number of the server that got the stream; -1 for none. */
    volatile int servedBy = -1;

    volatile long openedAt;
    /** Whether its server was killed. */
    volatile boolean killed;

    StreamLog(long number, StreamPlan plan) {
        this.number = number;
        this.plan = plan;
    }

    /** Describes how the halves disagree, or returns null if they agree. Bytes may be missing only after a reset. */
    String mismatch() {
        String up = directionMismatch("up", client, server);
        return up != null ? up : directionMismatch("down", server, client);
    }

    private String directionMismatch(String name, Half from, Half to) {
        String words = "stream " + number + " " + name + " of " + plan + " killed=" + killed + ": sent "
                + from.sent + (from.ended ? " and ended" : "") + (from.reset ? " and reset" : "") + ", got "
                + to.received + " " + to.peerEnd;
        if (to.corrupted) {
            return words + ", other bytes";
        }
        if (to.received > from.sent) {
            return words + ", more than was sent";
        }
        if (to.peerEnd == PeerEnd.END && (!from.ended || to.received != from.sent)) {
            return words + ", an end that nobody made";
        }
        boolean broken = killed || client.reset || server.reset;
        if (!broken && (to.peerEnd != PeerEnd.END || to.received != from.sent)) {
            return words + ", not whole";
        }
        if (from.reset && to.peerEnd == PeerEnd.NOTHING && !to.ended) {
            return words + ", the reset is lost";
        }
        return null;
    }
}
