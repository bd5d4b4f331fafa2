package topazvalve.cli;

import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A verb that only groups other verbs; without one of them it prints its usage help. */
abstract class VerbGroup implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }
}
