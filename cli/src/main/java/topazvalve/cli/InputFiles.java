package topazvalve.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import topazvalve.capacity.plan.CapacityPlan;
import topazvalve.capacity.plan.PlanFile;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.ScenarioFile;
import topazvalve.toml.InvalidFileException;

/** Reads what the caller names; whatever is wrong with it is a {@link InvalidInputException}. */
final class InputFiles {
    private InputFiles() {}

    static void requireFile(Path file) {
        if (!Files.isRegularFile(file) || !Files.isReadable(file)) {
            throw new InvalidInputException(file + ": no such file, or it can't be read", null);
        }
    }

    static Scenario scenario(Path file) {
        return read(file, ScenarioFile::read);
    }

    static CapacityPlan plan(Path file) {
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
        } catch (InvalidFileException | IOException e) {
            throw new InvalidInputException(
                    e instanceof InvalidFileException ? e.getMessage() : file + ": " + e.getMessage(), e);
        }
    }
}
