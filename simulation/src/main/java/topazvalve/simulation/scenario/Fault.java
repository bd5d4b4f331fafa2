package topazvalve.simulation.scenario;

import java.util.EnumSet;
import java.util.Set;
import topazvalve.toml.Table;

/**
 * One thing that goes wrong; times in nanoseconds from the start of the run.
 *
 * @param share the part of the servers, or instances, that it strikes; one at least
 * @param size how much: times slower, times the load, part of answers or packets
 * @param by how much longer a link takes, or how long a connection stays broken
 */
public record Fault(Kind kind, long start, long length, double share, double size, long by) {

    /** What goes wrong, and what {@code size} means for it. */
    public enum Kind {
        /** Servers run {@code size} times slower. */
        SLOW,
        /** Servers take requests and answer nothing, ever. */
        SILENT,
        /** Servers stand still, then go on where they were. */
        FROZEN,
        /** Servers break every connection, once. */
        RESET,
        /** Servers refuse new connections. */
        REFUSE,
        /** Machines fall silent: nothing connects, nothing comes back; then they start cold. */
        VANISH,
        /** Processes end and start cold after the length. */
        RESTART,
        /** Servers are gone; others under new ids stand in for them, cold. */
        REPLACE,
        /** The same, at the addresses of those that are gone. */
        REPLACE_IN_PLACE,
        /** The list says draining; after the length they start cold. */
        DRAIN,
        /** Clients ask {@code size} times as much. */
        OVERLOAD,
        /** Every server runs {@code size} times slower. */
        SHARED_SLOW,
        /** This part of the packets to and from the servers is lost and sent again. */
        LOSS,
        /** Every packet to and from the servers takes longer. */
        DELAY,
        /** This part of the answers is spoilt. */
        SPOIL,
        /** Sidecars are killed and start anew. */
        INSTANCE_RESTART,
        /** Discovery answers nobody. */
        DISCOVERY_DOWN
    }

    private static final Set<Kind> SIZED =
            EnumSet.of(Kind.SLOW, Kind.OVERLOAD, Kind.SHARED_SLOW, Kind.LOSS, Kind.SPOIL);
    private static final Set<Kind> PARTS = EnumSet.of(Kind.LOSS, Kind.SPOIL);
    private static final Set<Kind> WHOLE =
            EnumSet.of(Kind.OVERLOAD, Kind.SHARED_SLOW, Kind.LOSS, Kind.DELAY, Kind.DISCOVERY_DOWN);

    static Fault read(Table table, long runLength) {
        Kind kind = table.choice(Kind.class, "kind", null);
        long start = table.duration("start", null, "0", "24m");
        long length = table.duration("length", kind == Kind.RESET ? "0" : null, "0", "24m");
        double share = 1;
        if (!WHOLE.contains(kind)) {
            share = table.number("share", null, 0, 1);
        }
        double size = 1;
        if (SIZED.contains(kind)) {
            size = PARTS.contains(kind) ? table.number("size", null, 0, 1) : table.number("size", null, 0.01, 1000);
        }
        long by = kind == Kind.DELAY ? table.duration("by", null, "1us", "1m") : 0;
        if (start >= runLength) {
            table.wrong("start", "is not before the end of the run");
        }
        return new Fault(kind, start, length, share, size, by);
    }
}
