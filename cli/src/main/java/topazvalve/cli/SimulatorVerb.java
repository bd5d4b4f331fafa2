package topazvalve.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Hosts a policy for the operators' simulator, so that it can rank the policies that the simulation ranks. */
@Command(
        name = "simulator",
        aliases = "simhost",
        description = "Hosts any policy on the simulator's wire, on standard streams.")
final class SimulatorVerb implements Callable<Integer> {
    @Mixin
    private PolicyOption policy;

    @Override
    public Integer call() throws IOException {
        topazvalve.simulator.Main.runOnStandardStreams(policy.value()::create);
        return ExitCode.DONE;
    }
}
