package topazvalve.policy;

import java.util.List;

/**
 * Settings of an instance. {@link SidecarPolicy} does not use the instance index, the zone, the weight kind and the
 * fraction over quota; hosts set them for other implementations.
 *
 * @param instanceIndex the index of this sidecar among the instances; 0 or more
 * @param instanceCount the number of sidecars that share the endpoints; at least 1
 * @param clockResolutionNanos the shortest time between two events; 0 or more
 * @param requestClasses the request classes, at least one; a request refers to its class by the index
 * @param loadReportFields the names of the values in a load report, in order
 * @param weightByWork whether priority weights count per unit of work, not per request
 * @param overQuotaFraction the fraction of its weight that a request over its tenant's quota has; from 0 to 1
 */
public record Settings(
        int instanceIndex,
        int instanceCount,
        int zone,
        long clockResolutionNanos,
        DiscoveryMode discoveryMode,
        WeightKind weightKind,
        List<RequestClass> requestClasses,
        List<Tenant> tenants,
        Capabilities capabilities,
        Limits limits,
        List<String> loadReportFields,
        Costs costs,
        boolean weightByWork,
        double overQuotaFraction) {
    public Settings {
        InvalidSettingException.require(instanceCount >= 1 && instanceIndex >= 0, "rank and replicas");
        InvalidSettingException.require(clockResolutionNanos >= 0, "quantum");
        InvalidSettingException.require(!requestClasses.isEmpty(), "classes");
        InvalidSettingException.require(overQuotaFraction >= 0 && overQuotaFraction <= 1, "over-share worth");
        requestClasses = List.copyOf(requestClasses);
        tenants = List.copyOf(tenants);
        loadReportFields = List.copyOf(loadReportFields);
    }

    /** Returns these settings with other request classes. */
    public Settings withRequestClasses(List<RequestClass> replacements) {
        return new Settings(
                instanceIndex,
                instanceCount,
                zone,
                clockResolutionNanos,
                discoveryMode,
                weightKind,
                replacements,
                tenants,
                capabilities,
                limits,
                loadReportFields,
                costs,
                weightByWork,
                overQuotaFraction);
    }
}
