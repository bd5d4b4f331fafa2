package topazvalve.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import topazvalve.sidecar.OperatorFile;
import topazvalve.sidecar.config.Config;
import topazvalve.tcp.TcpSettings;
import topazvalve.toml.InvalidFileException;

/** Reads a file as the program that takes it would, and starts nothing. */
@Command(
        name = "check",
        description = {
            "Checks a sidecar's configuration (.json), an operator's file or a scenario "
                    + "(.toml), and starts nothing."
        })
final class CheckVerb implements Callable<Integer> {
    /** What only an operator's file has. */
    private static final Pattern OPERATOR = Pattern.compile("(?m)^\\s*(\\[\\[\\s*listener\\s*]]|\\[\\s*relays\\s*])");

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "the file to check")
    private Path file;

    @Override
    public Integer call() throws IOException {
        InputFiles.requireFile(file);
        if (file.toString().endsWith(".toml")
                && OPERATOR.matcher(Files.readString(file)).find()) {
            try {
                OperatorFile read = OperatorFile.read(file);
                spec.commandLine()
                        .getOut()
                        .println(file + ": good; listeners "
                                + read.listeners().stream()
                                        .map(TcpSettings::name)
                                        .toList()
                                + (read.relays().isEmpty()
                                        ? ""
                                        : ", relays " + read.relays().size()));
                return ExitCode.DONE;
            } catch (InvalidFileException e) {
                throw new InvalidInputException(e.getMessage(), e);
            }
        }
        if (file.toString().endsWith(".toml")) {
            spec.commandLine()
                    .getOut()
                    .println(file + ": good; scenario "
                            + InputFiles.scenario(file).name());
            return ExitCode.DONE;
        }
        try {
            Config config = Config.read(file);
            spec.commandLine()
                    .getOut()
                    .println(file + ": good; classes " + config.options().names("profiles"));
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(file + ": " + e.getMessage(), e);
        }
        return ExitCode.DONE;
    }
}
