package topazvalve.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Hosts a policy for the operators' simulator, so that the simulator can compare the same policies as the simulation.
 */
@Command(
        name = "simulator",
        aliases = "simhost",
        description = "Hosts a policy for the simulator, with its protocol on the standard streams.")
final class SimulatorVerb implements Callable<Integer> {
    @Mixin
    private PolicyOption policy;

    @Override
    public Integer call() throws IOException {
        topazvalve.simulator.Main.runOnStandardStreams(policy.value()::create);
        return ExitCode.SUCCESS;
    }
}
