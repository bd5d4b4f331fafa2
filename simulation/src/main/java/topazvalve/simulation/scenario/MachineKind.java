package topazvalve.simulation.scenario;

import topazvalve.toml.Range;
import topazvalve.toml.Table;

/**
 * A kind of order server. Times are in nanoseconds, work in nanoseconds of a standard core.
 *
 * @param weight its weight among the kinds when the kind of a server is drawn
 * @param speed the speed of a core as a multiple of a standard core's; drawn for each server from this range
 * @param slotsPerCore the number of requests that run concurrently, per core
 * @param queuePerCore the number of requests that are queued, per core
 * @param rejectsWhenFull whether it rejects requests when slots and queue are full; otherwise it queues them
 *     nevertheless
 * @param coldSpeedFraction the fraction (0 to 1) of its full speed that it has when it starts
 * @param warmUpTime the longest time from its start until it is warm; 0 if it is warm immediately
 * @param warmBy whether the warm-up ends by time alone, or earlier by work
 * @param meanPauseInterval mean time between pauses; 0 for no pauses
 * @param meanPause mean length of a pause
 * @param errorRate the fraction (0 to 1) of requests to which it responds with an error
 * @param cancel which attempts a cancellation stops
 * @param honoursDeadline whether it discards queued requests whose deadline is past
 * @param congestedAt the number of attempts held per core that congests the server; 0 for no congestion
 * @param congestionSlowdown the factor by which a congested server is slower
 * @param congestedAfter how long the server must hold that many attempts before it is congested
 * @param recoveryTime how long the server must hold at most a quarter of that number before it recovers
 * @param maxConnections the largest number of open connections
 * @param connectionCost the work of accepting a connection
 * @param idleTimeout how long a connection may be idle before the server closes it
 * @param cachedKeysPerCore the number of idempotency keys that it caches, per core; 0 for none
 * @param cachedKeySaving the fraction (0 to 1) of its work that a request with a cached key saves
 * @param keyRetention how long it caches a key
 */
public record MachineKind(
        String name,
        double weight,
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

    /** The position of the mean in the range of speeds. */
    private static final double MIDDLE = 0.5;

    /** Reads a {@code [[machine]]} table; its problems are collected by the table. */
    static MachineKind read(Table table) {
        MachineKind kind = new MachineKind(
                table.string("name", null),
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
        return cores * speed.interpolate(MIDDLE);
    }
}
