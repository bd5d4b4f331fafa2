package topazvalve.hollowfleet.oracle;

/**
 * One violation of a rule.
 *
 * @param rule the rule
 * @param timeNanos when it was detected, on the clock of the run
 * @param description the sidecar or source that violated the rule, and how
 */
public record Violation(Rule rule, long timeNanos, String description) {}
