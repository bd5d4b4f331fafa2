package topazvalve.simulation.oracle;

/** A rule that was broken: when, and by what. */
public record Violation(Rule rule, long at, String what) {
    @Override
    public String toString() {
        return rule + " at " + at / 1_000_000 + " ms: " + what;
    }
}
