package topazvalve.cli;

import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A verb that only has verbs of its own; alone it prints their list. */
abstract class VerbGroup implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }
}
