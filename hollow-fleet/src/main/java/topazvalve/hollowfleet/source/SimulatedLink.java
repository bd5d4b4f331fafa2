package topazvalve.hollowfleet.source;

/**
 * The network between a source and those who ask from one zone.
 *
 * @param kind what becomes of bytes
 * @param delay for {@link Kind#SLOW}: how late each write goes out, nanoseconds
 */
public record SimulatedLink(Kind kind, long delay) {
    /** What a link does. */
    public enum Kind {
        /** Nothing is wrong. */
        OPEN,
        /** Connections come up and stay open; nothing is read, nothing is written. */
        SILENT,
        /** As silent; all that were open or came up meanwhile are reset when it is back. */
        CUT,
        /** All is late. */
        SLOW,
        /** Each call ends in 503 at once; open watches go on. */
        REFUSING
    }

    public static final SimulatedLink OPEN = new SimulatedLink(Kind.OPEN, 0);

    /** Whether nothing gets through. */
    public boolean blocked() {
        return kind == Kind.SILENT || kind == Kind.CUT;
    }

    /** Whether an answer can be had over it. */
    public boolean answers() {
        return kind == Kind.OPEN || kind == Kind.SLOW;
    }
}
