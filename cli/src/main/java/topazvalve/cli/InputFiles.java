package topazvalve.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import topazvalve.capacity.plan.CapacityPlan;
import topazvalve.capacity.plan.PlanFile;
import topazvalve.hollowfleet.timeline.Timeline;
import topazvalve.hollowfleet.timeline.TimelineFile;
import topazvalve.simulation.scenario.ExperimentFile;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.ScenarioFile;
import topazvalve.toml.InvalidFileException;

/** Finds and reads the files that the caller names. An invalid file is reported by an {@link InvalidInputException}. */
final class InputFiles {
    /** The last directory {@code world} of a path, the former name of {@code simulation}. */
    private static final Pattern FORMER_DIRECTORY = Pattern.compile("^(.*/)?world/");

    private InputFiles() {}

    /**
     * Returns the file, or, if it is not readable and its path contains the former directory {@code world/}, the file
     * at the same path below {@code simulation/}.
     */
    static Path find(Path file) {
        if (isReadable(file)) {
            return file;
        }
        Path renamed = Path.of(FORMER_DIRECTORY.matcher(file.toString()).replaceFirst("$1simulation/"));
        if (isReadable(renamed)) {
            return renamed;
        }
        throw new InvalidInputException(file + ": no such file, or not readable");
    }

    private static boolean isReadable(Path file) {
        return Files.isRegularFile(file) && Files.isReadable(file);
    }

    /** Reads a scenario. */
    static Scenario scenario(Path file) {
        return readOrReject(file, ScenarioFile::read);
    }

    /** Reads a capacity plan. */
    static CapacityPlan plan(Path file) {
        return readOrReject(file, PlanFile::read);
    }

    /** Reads an experiment, which refers to its scenarios by path; they are not read. */
    static ExperimentFile.Experiment experiment(Path file) throws IOException {
        return read(file, ExperimentFile::read);
    }

    /** Reads the timeline of a hollow fleet. */
    static Timeline timeline(Path file) throws IOException {
        return read(file, TimelineFile::read);
    }

    /** A strict reader of one kind of file. */
    private interface Reader<T> {
        T read(Path file) throws IOException;
    }

    /** Reads a file; one that cannot be decoded is reported as invalid input, too. */
    private static <T> T readOrReject(Path file, Reader<T> reader) {
        try {
            return read(file, reader);
        } catch (IOException e) {
            throw new InvalidInputException(file + ": " + e.getMessage(), e);
        }
    }

    private static <T> T read(Path file, Reader<T> reader) throws IOException {
        try {
            return reader.read(find(file));
        } catch (InvalidFileException e) {
            throw new InvalidInputException(e.getMessage(), e);
        }
    }
}
