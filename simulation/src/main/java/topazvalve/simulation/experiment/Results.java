package topazvalve.simulation.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * Results in a folder, one JSON object a line. Each line is written in one piece, so a stop at any moment
 * leaves what is finished readable; a last line that was cut is passed over.
 */
public final class Results {
    /** The file's name in its folder. */
    public static final String FILE = "results.jsonl";

    private static final ObjectMapper JSON = new ObjectMapper();

    private Results() {}

    /** Reads all whole lines; none where there is no file. */
    public static List<Result> read(Path folder) throws IOException {
        List<Result> results = new ArrayList<>();
        Path file = folder.resolve(FILE);
        if (Files.exists(file)) {
            for (String line : Files.readAllLines(file, StandardCharsets.UTF_8)) {
                try {
                    results.add(JSON.readValue(line, Result.class));
                } catch (JsonProcessingException e) {
                    // Cut by a stop: that run counts as not done.

                }
            }
        }
        return results;
    }

    /** Begins anew with these, in place of whatever was there. */
    public static void rewrite(Path folder, List<Result> results) throws IOException {
        StringBuilder text = new StringBuilder();
        for (Result each : results) {
            text.append(JSON.writeValueAsString(each)).append('\n');
        }
        Path next = folder.resolve(FILE + ".next");
        Files.writeString(next, text);
        Files.move(
                next,
                folder.resolve(FILE),
                java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    /** Adds one. */
    public static void append(Path folder, Result result) throws IOException {
        byte[] line = (JSON.writeValueAsString(result) + "\n").getBytes(StandardCharsets.UTF_8);
        Files.write(folder.resolve(FILE), line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }
}
