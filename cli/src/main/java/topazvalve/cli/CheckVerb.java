package topazvalve.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
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
final class CheckVerb extends Verb {
    /** Tables that an operator's file has and a scenario hasn't. */
    private static final Pattern OPERATOR_TABLE =
            Pattern.compile("(?m)^\\s*(\\[\\[\\s*listener\\s*]]|\\[\\s*relays\\s*])");

    @Parameters(paramLabel = "FILE", description = "the file to check")
    private Path file;

    @Override
    public Integer call() throws IOException {
        Path found = InputFiles.find(file);
        out().println(found + ": good; " + describe(found));
        return ExitCode.DONE;
    }

    private static String describe(Path file) throws IOException {
        if (!file.toString().endsWith(".toml")) {
            return describeConfiguration(file);
        }
        if (OPERATOR_TABLE.matcher(Files.readString(file)).find()) {
            return describeOperatorFile(file);
        }
        return "scenario " + InputFiles.scenario(file).name();
    }

    private static String describeConfiguration(Path file) throws IOException {
        try {
            Config config = Config.read(file);
            return "classes " + config.settingsReader().names("profiles");
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(file + ": " + e.getMessage(), e);
        }
    }

    private static String describeOperatorFile(Path file) throws IOException {
        OperatorFile operatorFile;
        try {
            operatorFile = OperatorFile.read(file);
        } catch (InvalidFileException e) {
            throw new InvalidInputException(e.getMessage(), e);
        }
        List<String> listeners =
                operatorFile.listeners().stream().map(TcpSettings::name).toList();
        int relays = operatorFile.relays().size();
        return "listeners " + listeners + (relays == 0 ? "" : ", relays " + relays);
    }
}
