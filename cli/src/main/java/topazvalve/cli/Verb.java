package topazvalve.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
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

    /** Creates a directory for the files of measured processes. It is not deleted, so that their logs can be read. */
    static Path createWorkDirectory() throws IOException {
        return Files.createTempDirectory("topazvalve");
    }
}
