package topazvalve.hollowfleet.oracle;

/**
 * One violation of a rule.
 *
 * @param rule the rule
 * @param timeNanos when it was noticed, on the clock of the run
 * @param description who violated it and how
 */
public record Violation(Rule rule, long timeNanos, String description) {}
