package topazvalve.simulation.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * The results file of a directory, with one JSON object per line. Each line is written by one call, so that complete
 * lines stay readable if the process exits at any moment; an incomplete line is ignored.
 */
public final class Results {
    /** The name of the results file. */
    public static final String FILE = "results.jsonl";

    private static final ObjectMapper JSON = new ObjectMapper();

    private Results() {}

    /** Reads the results of all complete lines; returns an empty list if there is no file. */
    public static List<Result> read(Path directory) throws IOException {
        List<Result> results = new ArrayList<>();
        Path file = directory.resolve(FILE);
        if (Files.exists(file)) {
            for (String line : Files.readAllLines(file, StandardCharsets.UTF_8)) {
                try {
                    results.add(JSON.readValue(line, Result.class));
                } catch (JsonProcessingException ignored) {
                    // The process exited while it wrote this line, so the run counts as not performed.
                }
            }
        }
        return results;
    }

    /** Atomically replaces the file with one that has these results. */
    public static void replaceAll(Path directory, List<Result> results) throws IOException {
        StringBuilder text = new StringBuilder();
        for (Result each : results) {
            text.append(JSON.writeValueAsString(each)).append('\n');
        }
        Path temporary = directory.resolve(FILE + ".next");
        Files.writeString(temporary, text);
        Files.move(
                temporary,
                directory.resolve(FILE),
                StandardCopyOption.REPLACE_EXISTING,
                StandardCopyOption.ATOMIC_MOVE);
    }

    /** Appends a result to the file. */
    public static void append(Path directory, Result result) throws IOException {
        byte[] line = (JSON.writeValueAsString(result) + "\n").getBytes(StandardCharsets.UTF_8);
        Files.write(directory.resolve(FILE), line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }
}
