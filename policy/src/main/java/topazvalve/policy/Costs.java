package topazvalve.policy;

/**
 * Costs of optional actions, as fractions of the total priority weight.
 *
 * @param healthCheck the cost of one health check per first attempt; 0 or more
 * @param gossipMessage the cost of one message of the maximum size; 0 or more
 */
public record Costs(double healthCheck, double gossipMessage) {
    public Costs {
        InvalidSettingException.require(healthCheck >= 0 && gossipMessage >= 0, "charges");
    }

    /** All actions are free. */
    public static final Costs NONE = new Costs(0, 0);
}
