package topazvalve.simulation.oracle;

/**
 * A violation of a rule.
 *
 * @param at when it was found, in nanoseconds of the oracle's clock
 * @param since when what it concerns began, such as the sending of the request, on the same clock
 * @param instance the number of the sidecar instance, or {@link #NO_INSTANCE}
 * @param excessNanos by how much a limit in time was passed, after all tolerance; 0 if there is no such limit
 * @param what the request or server concerned, and what happened to it
 */
public record Violation(Rule rule, long at, long since, int instance, long excessNanos, String what) {
    /** The instance of a violation that concerns no single one. */
    public static final int NO_INSTANCE = -1;

    private static final long NANOS_PER_MILLI = 1_000_000;

    @Override
    public String toString() {
        return rule + " at " + at / NANOS_PER_MILLI + " ms: " + what;
    }
}
