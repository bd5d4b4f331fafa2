package topazvalve.simulation.scenario;

import topazvalve.toml.Table;

/**
 * A request class of a scenario. Times are in nanoseconds.
 *
 * @param weight its weight among the classes when the class of a request is drawn
 * @param work the mean work of a request on a standard core
 * @param workVariation the coefficient of variation of the work, which is lognormal
 * @param attemptVariation the coefficient of variation of the work between attempts of one request
 * @param latencyObjective a response within this time earns the priority weight; a later one earns nothing
 * @param deadline the longest time that a client waits
 * @param repeatWindow for a keyed class, how long the servers of its scope deduplicate repeats; otherwise 0
 */
public record RequestClassSpec(
        String name,
        double weight,
        long work,
        double workVariation,
        double attemptVariation,
        long latencyObjective,
        long deadline,
        double priorityWeight,
        Repeatability repeatability,
        Scope scope,
        long repeatWindow) {

    /** Whether a request may be repeated after an attempt that may have run. */
    public enum Repeatability {
        FREE,
        KEYED,
        NEVER
    }

    /** Which servers deduplicate repeats of a keyed request. */
    public enum Scope {
        ALL,
        ZONE,
        POD
    }

    /** Returns whether a client may retry a request that may have run: it is free, or every server deduplicates it. */
    public boolean retryIsHarmless() {
        return switch (repeatability) {
            case FREE -> true;
            case KEYED -> scope == Scope.ALL;
            case NEVER -> false;
        };
    }

    /** Reads a {@code [[class]]} table; its problems are collected by the table. */
    static RequestClassSpec read(Table table) {
        RequestClassSpec spec = new RequestClassSpec(
                table.string("name", null),
                table.number("share", 1.0, 0.001, 1000),
                table.duration("work", null, "1us", "1m"),
                table.number("spread", 0.5, 0, 10),
                table.number("noise", 0.0, 0, 10),
                table.duration("aim", null, "1ms", "10m"),
                table.duration("deadline", null, "1ms", "10m"),
                table.number("worth", 1.0, 0, 1e6),
                table.choice(Repeatability.class, "repeats", null),
                table.choice(Scope.class, "scope", Scope.ALL),
                table.duration("window", "0", "0", "10m"));
        if (spec.deadline < spec.latencyObjective) {
            table.addProblem("deadline", "is shorter than the aim");
        }
        if (spec.repeatability == Repeatability.KEYED && spec.repeatWindow == 0) {
            table.addProblem("window", "missing; a keyed class needs the time for which servers deduplicate repeats");
        }
        if (spec.repeatability != Repeatability.KEYED && (table.has("scope") || table.has("window"))) {
            table.addProblem(table.has("scope") ? "scope" : "window", "is allowed for keyed classes only");
        }
        return spec;
    }
}
