package topazvalve.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import topazvalve.capacity.plan.Plan;
import topazvalve.capacity.plan.PlanFile;
import topazvalve.toml.BadFile;
import topazvalve.world.scenario.Scenario;
import topazvalve.world.scenario.ScenarioFile;

/** Reads what the caller names; whatever is wrong with it is a {@link BadInput}. */
final class Input {
    private Input() {}

    static void requireFile(Path file) {
        if (!Files.isRegularFile(file) || !Files.isReadable(file)) {
            throw new BadInput(file + ": no such file, or it can't be read", null);
        }
    }

    static Scenario scenario(Path file) {
        return read(file, ScenarioFile::read);
    }

    static Plan plan(Path file) {
        return read(file, PlanFile::read);
    }

    /** A strict reader of one kind of file. */
    private interface Reader<T> {
        T read(Path file) throws IOException;
    }

    private static <T> T read(Path file, Reader<T> reader) {
        requireFile(file);
        try {
            return reader.read(file);
        } catch (BadFile | IOException e) {
            throw new BadInput(e instanceof BadFile ? e.getMessage() : file + ": " + e.getMessage(), e);
        }
    }
}
