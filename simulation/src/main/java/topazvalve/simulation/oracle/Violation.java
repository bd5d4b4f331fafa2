package topazvalve.simulation.oracle;

/**
 * The violation of a rule.
 *
 * @param at when it was found, in nanoseconds of the oracle's clock
 * @param what the request or server, and what happened to it
 */
public record Violation(Rule rule, long at, String what) {
    @Override
    public String toString() {
        return rule + " at " + at / 1_000_000 + " ms: " + what;
    }
}
