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
 * The file of results in a folder, one JSON object a line. Each line is written by one call, so that the finished lines
 * stay readable if the process ends at any moment; an incomplete line is ignored.
 */
public final class Results {
    /** The name of the file. */
    public static final String FILE = "results.jsonl";

    private static final ObjectMapper JSON = new ObjectMapper();

    private Results() {}

    /** Reads all complete lines; an empty list if there is no file. */
    public static List<Result> read(Path folder) throws IOException {
        List<Result> results = new ArrayList<>();
        Path file = folder.resolve(FILE);
        if (Files.exists(file)) {
            for (String line : Files.readAllLines(file, StandardCharsets.UTF_8)) {
                try {
                    results.add(JSON.readValue(line, Result.class));
                } catch (JsonProcessingException ignored) {
                    // The process ended while it wrote this line, so the run counts as not done.
                }
            }
        }
        return results;
    }

    /** Replaces the file by one with these results. */
    public static void replaceAll(Path folder, List<Result> results) throws IOException {
        StringBuilder text = new StringBuilder();
        for (Result each : results) {
            text.append(JSON.writeValueAsString(each)).append('\n');
        }
        Path temporary = folder.resolve(FILE + ".next");
        Files.writeString(temporary, text);
        Files.move(
                temporary, folder.resolve(FILE), StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Appends a result. */
    public static void append(Path folder, Result result) throws IOException {
        byte[] line = (JSON.writeValueAsString(result) + "\n").getBytes(StandardCharsets.UTF_8);
        Files.write(folder.resolve(FILE), line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }
}
