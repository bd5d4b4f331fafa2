package topazvalve.simulation.virtual;

import topazvalve.policy.LoadBalancer;
import topazvalve.simulation.policy.Policy;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.WorkClass;

/**
 * What is tried on a scenario: who decides, and under which settings.
 *
 * @param attempts the attempt limit; 0 for the scenario's
 * @param cancel whether attempts may be cancelled
 * @param probes whether servers may be probed
 * @param retryAfter whether refusals say when to come back
 */
public record ExperimentArm(
        String name, Policy policy, int attempts, boolean cancel, boolean probes, boolean retryAfter) {

    /** The policy with the scenario's own settings, all allowed. */
    public static ExperimentArm of(Policy policy) {
        return new ExperimentArm(
                policy.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'), policy, 0, true, true, true);
    }

    int attempts(Scenario scenario) {
        return attempts > 0
                ? Math.min(attempts, scenario.limits().attempts())
                : scenario.limits().attempts();
    }

    /** The settings as an instance of this arm is told them. */
    LoadBalancer.Settings settings(Scenario scenario, int rank, int zone) {
        Scenario.Limits limits = scenario.limits();
        return new LoadBalancer.Settings(
                rank,
                scenario.fleet().instances(),
                zone,
                0,
                scenario.news().subscribe()
                        ? LoadBalancer.DiscoveryMode.SUBSCRIBE
                        : LoadBalancer.DiscoveryMode.AUTOMATIC,
                LoadBalancer.WeightKind.SILENT,
                scenario.classes().stream().map(ExperimentArm::requestClass).toList(),
                java.util.List.of(),
                new LoadBalancer.Capabilities(
                        cancel,
                        probes,
                        false,
                        false,
                        retryAfter,
                        attempts(scenario),
                        scenario.clients().maxRetryAfter(),
                        limits.connectTimeout()),
                new LoadBalancer.Limits(
                        limits.responseSlack(),
                        limits.resubscribeWithin(),
                        limits.drainGrace(),
                        limits.coldShare(),
                        limits.rampTime(),
                        limits.overloadFactor(),
                        limits.coldLoadWindow()),
                java.util.List.of(),
                new LoadBalancer.Costs(0.01, 0),
                false,
                1);
    }

    private static LoadBalancer.RequestClass requestClass(WorkClass kind) {
        LoadBalancer.Idempotency semantics = switch (kind.repeatability()) {
            case FREE -> LoadBalancer.Idempotency.IDEMPOTENT;
            case KEYED -> LoadBalancer.Idempotency.IDEMPOTENCY_KEY;
            case NEVER -> LoadBalancer.Idempotency.NON_IDEMPOTENT;
        };
        LoadBalancer.KeyScope scope = switch (kind.scope()) {
            case ALL -> LoadBalancer.KeyScope.ALL;
            case ZONE -> LoadBalancer.KeyScope.ZONE;
            case POD -> LoadBalancer.KeyScope.CELL;
        };
        return new LoadBalancer.RequestClass(
                kind.latencyObjective(),
                0,
                kind.deadline(),
                kind.priorityWeight(),
                0,
                semantics,
                scope,
                kind.repeatWindow(),
                false);
    }
}
