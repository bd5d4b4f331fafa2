package topazvalve.simulation.virtual;

import java.util.List;
import topazvalve.policy.Capabilities;
import topazvalve.policy.Costs;
import topazvalve.policy.DiscoveryMode;
import topazvalve.policy.Idempotency;
import topazvalve.policy.KeyScope;
import topazvalve.policy.Limits;
import topazvalve.policy.RequestClass;
import topazvalve.policy.Settings;
import topazvalve.policy.WeightKind;
import topazvalve.simulation.policy.Policy;
import topazvalve.simulation.scenario.RequestClassSpec;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.toml.Table;

/**
 * One arm of an experiment: a policy and its settings.
 *
 * @param attempts the largest number of attempts of a request; 0 for the scenario's limit
 * @param cancel whether attempts may be cancelled
 * @param probes whether servers may be health-checked
 * @param retryAfter whether rejections have a Retry-After
 */
public record ExperimentArm(
        String name, Policy policy, int attempts, boolean cancel, boolean probes, boolean retryAfter) {

    private static final long CLOCK_RESOLUTION_NANOS = 0;
    private static final double HEALTH_CHECK_COST = 0.01;
    private static final double GOSSIP_COST = 0;

    /** Returns the arm of a policy with the scenario's own settings and all options enabled. */
    public static ExperimentArm of(Policy policy) {
        return new ExperimentArm(Table.nameOf(policy), policy, 0, true, true, true);
    }

    /** Returns the largest number of attempts of a request. */
    int attempts(Scenario scenario) {
        int limit = scenario.limits().attempts();
        return attempts > 0 ? Math.min(attempts, limit) : limit;
    }

    /** Returns the settings of an instance in this arm. */
    Settings settings(Scenario scenario, int instanceIndex, int zone) {
        Scenario.Limits limits = scenario.limits();
        return new Settings(
                instanceIndex,
                scenario.fleet().instances(),
                zone,
                CLOCK_RESOLUTION_NANOS,
                scenario.discovery().subscribe() ? DiscoveryMode.SUBSCRIBE : DiscoveryMode.AUTOMATIC,
                WeightKind.SILENT,
                scenario.classes().stream().map(ExperimentArm::requestClass).toList(),
                List.of(),
                new Capabilities(
                        cancel,
                        probes,
                        false,
                        false,
                        retryAfter,
                        attempts(scenario),
                        scenario.clients().maxRetryAfter(),
                        limits.connectTimeout()),
                new Limits(
                        limits.responseSlack(),
                        limits.resubscribeWithin(),
                        limits.drainGrace(),
                        limits.coldCapacityFraction(),
                        limits.slowStartTime(),
                        limits.overloadFactor(),
                        limits.coldLoadWindow()),
                List.of(),
                new Costs(HEALTH_CHECK_COST, GOSSIP_COST),
                false,
                1);
    }

    private static RequestClass requestClass(RequestClassSpec spec) {
        Idempotency idempotency = switch (spec.repeatability()) {
            case FREE -> Idempotency.IDEMPOTENT;
            case KEYED -> Idempotency.IDEMPOTENCY_KEY;
            case NEVER -> Idempotency.NON_IDEMPOTENT;
        };
        KeyScope scope = switch (spec.scope()) {
            case ALL -> KeyScope.ALL;
            case ZONE -> KeyScope.ZONE;
            case POD -> KeyScope.CELL;
        };
        return new RequestClass(
                spec.latencyObjective(),
                0,
                spec.deadline(),
                spec.priorityWeight(),
                0,
                idempotency,
                scope,
                spec.repeatWindow(),
                false);
    }
}
