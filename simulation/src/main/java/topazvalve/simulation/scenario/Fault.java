package topazvalve.simulation.scenario;

import java.util.EnumSet;
import java.util.Set;
import topazvalve.toml.Table;

/**
 * A fault to inject. Times are in nanoseconds; the start is relative to the start of the run.
 *
 * @param affectedFraction the fraction (0 to 1) of the servers or instances that it affects; at least one is affected
 * @param size a slowdown, a load factor, or a fraction of responses or packets, depending on the kind
 * @param extraDelay the additional delay of every packet ({@code DELAY}), the maximum delay of extra data or a body, or
 *     the length of the longest stall
 */
public record Fault(Kind kind, long start, long length, double affectedFraction, double size, long extraDelay) {

    /** Kinds of faults, and the meaning of {@code size}. */
    public enum Kind {
        /** Servers run {@code size} times slower. */
        SLOW,
        /** Servers accept requests and never respond to them. */
        SILENT,
        /** Servers stop processing, and resume afterwards where they stopped. */
        FROZEN,
        /** Servers reset all their connections once. */
        RESET,
        /** Servers refuse new connections. */
        REFUSE,
        /** Machines become unreachable, and restart cold afterwards. */
        VANISH,
        /** Processes end, and restart cold afterwards. */
        RESTART,
        /** Servers end permanently, and are replaced by cold ones with new ids and addresses. */
        REPLACE,
        /** Servers end permanently, and are replaced by cold ones with new ids at the same addresses. */
        REPLACE_IN_PLACE,
        /** Servers are listed as draining, and restart cold afterwards. */
        DRAIN,
        /** Clients send {@code size} times as many requests. */
        OVERLOAD,
        /** Every server runs {@code size} times slower. */
        SHARED_SLOW,
        /** The fraction {@code size} of the packets to and from the servers is lost and retransmitted. */
        LOSS,
        /** Every packet to and from the servers is delayed by {@code extraDelay}. */
        DELAY,
        /** The fraction {@code size} of the responses is corrupted. */
        SPOIL,
        /** The fraction {@code size} of the responses is followed by unrequested data, up to {@code by} later. */
        EXTRA,
        /** The fraction {@code size} of the responses is long, with a body that follows up to {@code by} later. */
        SLOW_BODY,
        /** Sidecar instances are killed and restarted. */
        INSTANCE_RESTART,
        /** Sidecar processes are stopped and continued, again and again, each time for up to {@code extraDelay}. */
        INSTANCE_STALL,
        /** Clients send small or unsound requests to a sidecar at full speed; in real time only. */
        CLIENT_FLOOD,
        /** Hundreds of clients that are slow or stop half way stay connected to a sidecar; in real time only. */
        CLIENT_CROWD,
        /** Clients send many requests at once and close at once, with most of it unread; in real time only. */
        CLIENT_DEPARTURES,
        /** Sidecar processes get SIGHUP, again and again; in real time only. */
        RELOADS,
        /** Sidecar processes get SIGTERM, SIGKILL as early as the rules allow, and restart; in real time only. */
        INSTANCE_SHUTDOWN,
        /** Discovery does not respond. */
        DISCOVERY_DOWN
    }

    /** Kinds that have a size. */
    private static final Set<Kind> SIZED =
            EnumSet.of(Kind.SLOW, Kind.OVERLOAD, Kind.SHARED_SLOW, Kind.LOSS, Kind.SPOIL, Kind.EXTRA, Kind.SLOW_BODY);
    /** Kinds whose size is a fraction. */
    private static final Set<Kind> RATES = EnumSet.of(Kind.LOSS, Kind.SPOIL, Kind.EXTRA, Kind.SLOW_BODY);
    /** Kinds that have an extra delay. */
    private static final Set<Kind> DELAYED = EnumSet.of(Kind.DELAY, Kind.EXTRA, Kind.SLOW_BODY, Kind.INSTANCE_STALL);
    /** Kinds that affect all servers or instances, so that they have no affected fraction. */
    private static final Set<Kind> GLOBAL =
            EnumSet.of(Kind.OVERLOAD, Kind.SHARED_SLOW, Kind.LOSS, Kind.DELAY, Kind.DISCOVERY_DOWN);

    /** Reads a {@code [[fault]]} table; its problems are collected by the table. */
    static Fault read(Table table, long runLength) {
        Kind kind = table.choice(Kind.class, "kind", null);
        long start = table.duration("start", null, "0", "24m");
        long length = table.duration("length", kind == Kind.RESET ? "0" : null, "0", "24m");
        double affectedFraction = GLOBAL.contains(kind) ? 1 : table.number("share", null, 0, 1);
        double size = 1;
        if (SIZED.contains(kind)) {
            boolean isRate = RATES.contains(kind);
            size = table.number("size", null, isRate ? 0 : 0.01, isRate ? 1 : 1000);
        }
        boolean hasDelay = DELAYED.contains(kind);
        long extraDelay = hasDelay ? table.duration("by", null, "1us", "1m") : 0;
        if (start >= runLength) {
            table.addProblem("start", "is not before the end of the run");
        }
        return new Fault(kind, start, length, affectedFraction, size, extraDelay);
    }
}
