package topazvalve.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import topazvalve.sidecar.config.Config;

/** Reads a file as the program that takes it would, and starts nothing. */
@Command(name = "check", description = {
    "Checks a sidecar's configuration (.json) or a scenario (.toml), and starts nothing."})
final class Check implements Callable<Integer> {
    @Spec
    private CommandSpec spec;
    @Parameters(paramLabel = "FILE", description = "the file to check")
    private Path file;

    @Override
    public Integer call() throws IOException {
        if (file.toString().endsWith(".toml")) {
            spec.commandLine().getOut().println(file + ": good; scenario " + Input.scenario(file).name());
            return ExitCode.DONE;
        }
        Input.requireFile(file);
        try {
            Config config = Config.read(file);
            spec.commandLine().getOut().println(file + ": good; classes "
                    + config.options().names("profiles"));
        } catch (IllegalArgumentException e) {
            throw new BadInput(file + ": " + e.getMessage(), e);
        }
        return ExitCode.DONE;
    }
}
