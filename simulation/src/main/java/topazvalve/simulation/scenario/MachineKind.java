package topazvalve.simulation.scenario;

import topazvalve.toml.Range;
import topazvalve.toml.Table;

/**
 * A kind of order server. Times are in nanoseconds, work in nanoseconds of a standard core.
 *
 * @param share its weight among the kinds in the draw of a server
 * @param speed how many times as fast as a standard core a core is; each server draws from this range
 * @param slotsPerCore requests that run at once, for each core
 * @param queuePerCore requests that are queued, for each core
 * @param rejectsWhenFull whether it rejects requests beyond slots and queue; otherwise it queues them all the same
 * @param coldSpeedFraction the fraction (0 to 1) of its speed that it has when it starts
 * @param warmUpTime how long after its start it is warm at the latest; 0 for at once
 * @param warmBy whether work ends the warm-up earlier than time
 * @param meanPauseInterval mean time between pauses; 0 for no pauses
 * @param meanPause mean length of a pause
 * @param errorRate the fraction (0 to 1) of requests to which it responds with an error
 * @param cancel which attempts a cancellation stops
 * @param honoursDeadline whether it discards queued requests whose deadline is past
 * @param congestedAt attempts held for each core that congest the server; 0 for no congestion
 * @param congestionSlowdown how many times slower a congested server is
 * @param congestedAfter how long the server must hold so many attempts before it is congested
 * @param recoveryTime how long the server must hold at most a quarter of them before it recovers
 * @param maxConnections how many open connections it accepts
 * @param connectionCost work of accepting a connection
 * @param idleTimeout how long a connection may be idle before the server closes it
 * @param cachedKeysPerCore how many idempotency keys it remembers, for each core; 0 for none
 * @param cachedKeySaving the fraction (0 to 1) of its work that a request with a remembered key saves
 * @param keyRetention how long it remembers a key
 */
public record MachineKind(
        String name,
        double share,
        int cores,
        Range speed,
        double slotsPerCore,
        double queuePerCore,
        boolean rejectsWhenFull,
        double coldSpeedFraction,
        long warmUpTime,
        WarmBy warmBy,
        long meanPauseInterval,
        long meanPause,
        double errorRate,
        Cancel cancel,
        boolean honoursDeadline,
        double congestedAt,
        double congestionSlowdown,
        long congestedAfter,
        long recoveryTime,
        int maxConnections,
        long connectionCost,
        long idleTimeout,
        int cachedKeysPerCore,
        double cachedKeySaving,
        long keyRetention) {

    /** What ends the warm-up of a server. */
    public enum WarmBy {
        TIME,
        WORK
    }

    /** Which attempts a cancellation stops at the server. */
    public enum Cancel {
        NOTHING,
        WAITING,
        ALL
    }

    private static final double MIDDLE = 0.5;

    /** Reads a {@code [[machine]]} table; its problems are collected by the table. */
    static MachineKind read(Table table) {
        MachineKind kind = new MachineKind(
                table.text("name", null),
                table.number("share", 1.0, 0.001, 1000),
                table.integer("cores", null, 1, 1024),
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
                table.integer("connections", 1500, 1, 1_000_000),
                table.duration("connection_cost", "0", "0", "1s"),
                table.duration("idle_close", "5s", "10ms", "10m"),
                table.integer("known_keys_per_core", 0, 0, 1_000_000),
                table.number("key_gain", 0.0, 0, 0.99),
                table.duration("key_time", "5s", "0", "10m"));
        if (table.has("pause") != table.has("pause_every")) {
            table.addProblem(table.has("pause") ? "pause" : "pause_every", "pause and pause_every go together");
        }
        return kind;
    }

    /** Returns its mean capacity when warm, in standard cores. */
    public double capacity() {
        return cores * speed.at(MIDDLE);
    }
}
