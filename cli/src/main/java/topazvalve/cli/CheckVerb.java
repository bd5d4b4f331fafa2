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

/** Validates an input file of the sidecar or the simulation in the same way as they do, without starting them. */
@Command(
        name = "check",
        description = {
            "Validates a sidecar's configuration, an operator file or a scenario without running it.",
            "An operator file adds TCP listeners and relays to a sidecar's configuration.",
            "A configuration has the suffix .json; operator files and scenarios have the suffix .toml."
        })
final class CheckVerb extends Verb {
    /** Tables that occur in an operator file but not in a scenario. */
    private static final Pattern OPERATOR_TABLE =
            Pattern.compile("(?m)^\\s*(\\[\\[\\s*listener\\s*]]|\\[\\s*relays\\s*])");

    @Parameters(paramLabel = "FILE", description = "the file to check")
    private Path file;

    @Override
    public Integer call() throws IOException {
        Path found = InputFiles.find(file);
        out().println(found + ": good; " + describe(found));
        return ExitCode.SUCCESS;
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
            // The configuration file lists the request classes under the key "profiles".
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
