package topazvalve.hollowfleet.source;

/**
 * The network between a source and the clients of one zone.
 *
 * @param kind the fault, if any
 * @param delayNanos the delay of each write, for {@link Kind#SLOW}
 */
public record SimulatedLink(Kind kind, long delayNanos) {
    /** The behaviour of a link. The names of the constants appear in timeline files. */
    public enum Kind {
        /** No fault. */
        OPEN,
        /** Connections are accepted and stay open, but nothing is read or written. */
        SILENT,
        /** Like {@link #SILENT}; when the fault ends, all connections are reset. */
        CUT,
        /** Every write is delayed. */
        SLOW,
        /** Each call is rejected with status 503; open watches continue. */
        REFUSING
    }

    /** A link without a fault. */
    public static final SimulatedLink OPEN = new SimulatedLink(Kind.OPEN, 0);

    /** Returns whether no bytes pass in either direction. */
    public boolean isBlocked() {
        return kind == Kind.SILENT || kind == Kind.CUT;
    }

    /** Returns whether a call over this link is answered with a list. */
    public boolean isServing() {
        return kind == Kind.OPEN || kind == Kind.SLOW;
    }
}
