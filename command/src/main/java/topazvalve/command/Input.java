package topazvalve.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import topazvalve.toml.BadFile;
import topazvalve.world.scenario.Scenario;
import topazvalve.world.scenario.ScenarioFile;

/** Reads what the caller names; whatever is wrong with it is a {@link BadInput}. */
final class Input {
    private Input() { }

    static void requireFile(Path file) {
        if (!Files.isRegularFile(file) || !Files.isReadable(file)) {
            throw new BadInput(file + ": no such file, or it can't be read", null);
        }
    }

    static Scenario scenario(Path file) {
        requireFile(file);
        try {
            return ScenarioFile.read(file);
        } catch (BadFile | IOException e) {
            throw new BadInput(e instanceof BadFile ? e.getMessage() : file + ": " + e.getMessage(), e);
        }
    }
}
