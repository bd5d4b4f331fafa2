package topazvalve.simulation.scenario;

import topazvalve.toml.Table;

/**
 * A class of requests. Times are in nanoseconds.
 *
 * @param share its weight among the classes in the draw of a request
 * @param work mean work of a request on a standard core
 * @param workVariation coefficient of variation of the work, which is lognormal
 * @param attemptVariation coefficient of variation of the work between attempts of one request
 * @param latencyObjective a response within this time earns the priority weight, a later one nothing
 * @param deadline how long a client waits at most
 * @param repeatWindow for a keyed class, how long the servers of its scope drop repeats; otherwise 0
 */
public record RequestClassSpec(
        String name,
        double share,
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

    /** Which servers drop repeats of a keyed request. */
    public enum Scope {
        ALL,
        ZONE,
        POD
    }

    /** Returns whether a client may retry a request that may have run: it is free, or every server drops repeats. */
    public boolean retryIsHarmless() {
        return switch (repeatability) {
            case FREE -> true;
            case KEYED -> scope == Scope.ALL;
            case NEVER -> false;
        };
    }

    /** Reads a {@code [[class]]} table; its problems are collected by the table. */
    static RequestClassSpec read(Table table) {
        RequestClassSpec read = new RequestClassSpec(
                table.text("name", null),
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
        if (read.deadline < read.latencyObjective) {
            table.addProblem("deadline", "is shorter than the aim");
        }
        if (read.repeatability == Repeatability.KEYED && read.repeatWindow == 0) {
            table.addProblem("window", "missing; for how long the servers drop a repeat of a keyed request");
        }
        if (read.repeatability != Repeatability.KEYED && (table.has("scope") || table.has("window"))) {
            table.addProblem(table.has("scope") ? "scope" : "window", "only a keyed class has it");
        }
        return read;
    }
}
