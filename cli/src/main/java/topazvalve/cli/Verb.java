package topazvalve.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A verb of the command. It returns an {@link ExitCode} and prints its results to {@link #out}. */
abstract class Verb implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    /** Returns the command's standard output. */
    PrintWriter out() {
        return spec.commandLine().getOut();
    }
}
