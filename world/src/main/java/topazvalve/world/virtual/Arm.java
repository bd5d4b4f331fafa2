package topazvalve.world.virtual;

import topazvalve.decisions.Balancer;
import topazvalve.world.policy.Policy;
import topazvalve.world.scenario.Scenario;
import topazvalve.world.scenario.WorkClass;

/**
 * What is tried on a scenario: who decides, and under which settings.
 *
 * @param attempts the attempt limit; 0 for the scenario's
 * @param cancel whether attempts may be cancelled
 * @param probes whether servers may be probed
 * @param retryAfter whether refusals say when to come back
 */
public record Arm(String name, Policy policy, int attempts, boolean cancel, boolean probes, boolean retryAfter) {

    /** The policy with the scenario's own settings, all allowed. */
    public static Arm of(Policy policy) {
        return new Arm(policy.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'), policy, 0, true, true, true);
    }

    int attempts(Scenario scenario) {
        return attempts > 0
                ? Math.min(attempts, scenario.limits().attempts())
                : scenario.limits().attempts();
    }

    /** The settings as an instance of this arm is told them. */
    Balancer.Settings settings(Scenario scenario, int rank, int zone) {
        Scenario.Limits limits = scenario.limits();
        return new Balancer.Settings(
                rank,
                scenario.fleet().instances(),
                zone,
                0,
                scenario.news().subscribe() ? Balancer.Discovery.SUBSCRIBE : Balancer.Discovery.AUTOMATIC,
                Balancer.Weights.SILENT,
                scenario.classes().stream().map(Arm::requestClass).toList(),
                java.util.List.of(),
                new Balancer.Allowed(
                        cancel,
                        probes,
                        false,
                        false,
                        retryAfter,
                        attempts(scenario),
                        scenario.clients().maxRetryAfter(),
                        limits.connectTimeout()),
                new Balancer.Limits(
                        limits.answerSlack(),
                        limits.askWithin(),
                        limits.drainGrace(),
                        limits.coldShare(),
                        limits.rampTime(),
                        limits.overloadFactor(),
                        limits.tipAfter()),
                java.util.List.of(),
                new Balancer.Charges(0.01, 0),
                false,
                1);
    }

    private static Balancer.RequestClass requestClass(WorkClass kind) {
        Balancer.Semantics semantics = switch (kind.repeats()) {
            case FREE -> Balancer.Semantics.REPEATABLE;
            case KEYED -> Balancer.Semantics.BY_KEY;
            case NEVER -> Balancer.Semantics.ONCE;
        };
        Balancer.Scope scope = switch (kind.scope()) {
            case ALL -> Balancer.Scope.ALL;
            case ZONE -> Balancer.Scope.ZONE;
            case POD -> Balancer.Scope.CELL;
        };
        return new Balancer.RequestClass(
                kind.aim(), 0, kind.deadline(), kind.worth(), 0, semantics, scope, kind.window(), false);
    }
}
