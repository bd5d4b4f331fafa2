package topazvalve.simulation.scenario;

import topazvalve.toml.Range;
import topazvalve.toml.Table;

/**
 * A kind of order server; times in nanoseconds.
 *
 * @param share its part of the fleet, against the other kinds' shares
 * @param speed work done in a second by one core, in seconds of standard work
 * @param slots requests in work at once, for each core
 * @param queue further requests held, for each core; beyond it one is declined, or held all the same
 * @param coldShare the part of its capacity that it has when it starts
 * @param coldTime until when it is warm at the latest
 * @param pauseEvery mean time between two pauses; 0 for none
 * @param cancel what giving an attempt up stops
 * @param honoursDeadline drops waiting requests whose time is over
 * @param crowdedAt requests held for each core from which, held for {@code crowdedAfter}, it turns
 *     {@code crowdedSlower} times slower until down to a quarter for {@code crowdedRest}; 0: never
 * @param connections how many open ones it accepts
 * @param connectionCost work of accepting one
 * @param idleClose it closes a connection that is idle for so long
 * @param knownKeys how many keys it remembers, for each core, for {@code keyTime}; a request for one takes
 *     {@code keyGain} less of its work
 */
public record MachineKind(
        String name,
        double share,
        int cores,
        Range speed,
        double slots,
        double queue,
        boolean declines,
        double coldShare,
        long coldTime,
        WarmBy warmBy,
        long pauseEvery,
        long pause,
        double errors,
        Cancel cancel,
        boolean honoursDeadline,
        double crowdedAt,
        double crowdedSlower,
        long crowdedAfter,
        long crowdedRest,
        int connections,
        long connectionCost,
        long idleClose,
        int knownKeys,
        double keyGain,
        long keyTime) {

    /** What makes a cold server warm. */
    public enum WarmBy {
        TIME,
        WORK
    }

    /** What a cancel stops at the server. */
    public enum Cancel {
        NOTHING,
        WAITING,
        ALL
    }

    static MachineKind read(Table table) {
        MachineKind kind = new MachineKind(
                table.text("name", null),
                table.number("share", 1.0, 0.001, 1000),
                table.whole("cores", null, 1, 1024),
                table.range("speed", new Range(1, 1), 0.01, 1000),
                table.number("slots_per_core", 4.0, 0.1, 10_000),
                table.number("queue_per_core", 30.0, 0, 100_000),
                table.flag("declines_when_full", true),
                table.number("cold_share", 1.0, 0.01, 1),
                table.duration("cold_time", "0", "0", "10m"),
                table.choice(WarmBy.class, "warm_by", WarmBy.TIME),
                table.duration("pause_every", "0", "0", "10m"),
                table.duration("pause", "0", "0", "1m"),
                table.number("errors", 0.0, 0, 1),
                table.choice(Cancel.class, "cancel", Cancel.NOTHING),
                table.flag("honours_deadline", false),
                table.number("crowded_at", 0.0, 0, 100_000),
                table.number("crowded_slower", 2.0, 1, 100),
                table.duration("crowded_after", "2s", "0", "1m"),
                table.duration("crowded_rest", "3s", "0", "10m"),
                table.whole("connections", 1500, 1, 1_000_000),
                table.duration("connection_cost", "0", "0", "1s"),
                table.duration("idle_close", "5s", "10ms", "10m"),
                table.whole("known_keys_per_core", 0, 0, 1_000_000),
                table.number("key_gain", 0.0, 0, 0.99),
                table.duration("key_time", "5s", "0", "10m"));
        if (table.has("pause") != table.has("pause_every")) {
            table.wrong(table.has("pause") ? "pause" : "pause_every", "pause and pause_every go together");
        }
        return kind;
    }

    /** Seconds of standard work that it does in a second when warm, at the middle of its speed. */
    public double capacity() {
        return cores * speed.at(0.5);
    }
}
