package topazvalve.cli;

import picocli.CommandLine.Option;
import topazvalve.simulation.policy.Policy;

/** The option {@code --policy} of the verbs that can play another policy than the sidecar's. */
final class PolicyOption {
    @Option(
            names = "--policy",
            defaultValue = "module",
            description = "who decides: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private Policy policy;

    /** Returns the policy that decides. */
    Policy value() {
        return policy;
    }
}
