package topazvalve.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import topazvalve.simulation.policy.Policy;

/** Any policy on the simulator's wire, so that both worlds can be asked how they rank them. */
@Command(name = "simhost", description = "Hosts any policy on the simulator's wire, on standard streams.")
final class SimulatorVerb implements Callable<Integer> {
    @Option(
            names = "--policy",
            defaultValue = "module",
            description = "who decides: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private Policy policy;

    @Override
    public Integer call() throws IOException {
        topazvalve.simulator.Main.runOnStandardStreams(policy::create);
        return ExitCode.DONE;
    }
}
