package topazvalve.simulation.scenario;

import topazvalve.toml.Table;

/**
 * A class of request; times in nanoseconds.
 *
 * @param share its part of the requests, against the other classes' shares
 * @param work mean work of one request, on a standard core
 * @param spread coefficient of variation of the work, which is lognormal
 * @param noise the same between two attempts at one request
 * @param aim an answer within this time has its full worth; a later one none
 * @param deadline when a client gives up, at the latest
 * @param window for a keyed class: how long the servers of its scope drop a repeat
 */
public record WorkClass(
        String name,
        double share,
        long work,
        double spread,
        double noise,
        long aim,
        long deadline,
        double worth,
        Repeats repeats,
        Scope scope,
        long window) {

    /** What may be done after an attempt that may have run. */
    public enum Repeats {
        FREE,
        KEYED,
        NEVER
    }

    /** Who drops a repeat of a keyed request. */
    public enum Scope {
        ALL,
        ZONE,
        POD
    }

    static WorkClass read(Table table) {
        WorkClass read = new WorkClass(
                table.text("name", null),
                table.number("share", 1.0, 0.001, 1000),
                table.duration("work", null, "1us", "1m"),
                table.number("spread", 0.5, 0, 10),
                table.number("noise", 0.0, 0, 10),
                table.duration("aim", null, "1ms", "10m"),
                table.duration("deadline", null, "1ms", "10m"),
                table.number("worth", 1.0, 0, 1e6),
                table.choice(Repeats.class, "repeats", null),
                table.choice(Scope.class, "scope", Scope.ALL),
                table.duration("window", "0", "0", "10m"));
        if (read.deadline < read.aim) {
            table.wrong("deadline", "is shorter than the aim");
        }
        if (read.repeats == Repeats.KEYED && read.window == 0) {
            table.wrong("window", "missing; for how long the servers drop a repeat of a keyed request");
        }
        if (read.repeats != Repeats.KEYED && (table.has("scope") || table.has("window"))) {
            table.wrong(table.has("scope") ? "scope" : "window", "only a keyed class has it");
        }
        return read;
    }
}
