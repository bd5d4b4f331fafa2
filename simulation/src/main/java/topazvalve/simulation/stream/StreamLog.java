package topazvalve.simulation.stream;

import java.util.concurrent.CountDownLatch;

/** What both ends of one stream saw; each half is written on its own end's loop and read when both ended. */
final class StreamLog {
    /** How an end saw the other's half end. */
    enum Seen {
        NOTHING,
        END,
        RESET
    }

    /** One end's half of the log. */
    static final class Half {
        volatile long sent;
        volatile long received;
        volatile boolean spoilt;
        volatile boolean ended;
        volatile boolean reset;
        volatile Seen seen = Seen.NOTHING;
    }

    final long number;
    final StreamPlan plan;
    final Half client = new Half();
    final Half server = new Half();
    final CountDownLatch over = new CountDownLatch(1);
    volatile int at = -1;
    volatile long openedAt;
    /** Something outside broke it: its server was killed. */
    volatile boolean killed;

    StreamLog(long number, StreamPlan plan) {
        this.number = number;
        this.plan = plan;
    }

    /** What does not agree, or null. Bytes may be missing only where the one who misses them saw a reset. */
    String fault() {
        String up = direction("up", client, server);
        return up != null ? up : direction("down", server, client);
    }

    private String direction(String name, Half from, Half to) {
        String words = "stream " + number + " " + name + " of " + plan + " killed=" + killed + ": sent "
                + from.sent + (from.ended ? " and ended" : "") + (from.reset ? " and reset" : "") + ", got "
                + to.received + " " + to.seen;
        if (to.spoilt) {
            return words + ", other bytes";
        }
        if (to.received > from.sent) {
            return words + ", more than was sent";
        }
        if (to.seen == Seen.END && (!from.ended || to.received != from.sent)) {
            return words + ", an end that nobody made";
        }
        boolean broken = killed || client.reset || server.reset;
        if (!broken && (to.seen != Seen.END || to.received != from.sent)) {
            return words + ", not whole";
        }
        if (from.reset && to.seen == Seen.NOTHING && !to.ended) {
            return words + ", the reset is lost";
        }
        return null;
    }
}
