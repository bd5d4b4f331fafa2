package topazvalve.cli;

import picocli.CommandLine.Option;
import topazvalve.simulation.policy.Policy;

/** The option {@code --policy} of the verbs that can run a policy other than the sidecar's. */
final class PolicyOption {
    @Option(
            names = "--policy",
            defaultValue = "module",
            description = "the load-balancing policy: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private Policy policy;

    /** Returns the chosen policy. */
    Policy value() {
        return policy;
    }
}
