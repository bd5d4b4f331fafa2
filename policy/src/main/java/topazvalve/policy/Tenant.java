package topazvalve.policy;

/**
 * A tenant, whose requests share a quota.
 *
 * @param quotaFraction the tenant's fraction of the service; 0 or more
 * @param quotaPerSecond the rate, over all sidecars, up to which its requests have their full weight; 0 or more
 */
public record Tenant(double quotaFraction, double quotaPerSecond) {
    public Tenant {
        InvalidSettingException.require(quotaFraction >= 0 && quotaPerSecond >= 0, "tenant portion and quota");
    }
}
