package topazvalve.toml;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/** Reads TOML files. A file is accepted only as a whole; otherwise all of its problems are reported. */
public final class TomlFile {
    private static final TomlMapper TOML = new TomlMapper();

    private TomlFile() {}

    /**
     * Reads a file, which messages name by its path.
     *
     * @param reader reads the values from the root table; it records problems there and continues
     * @return the result of {@code reader}
     * @throws InvalidFileException if the file is not TOML or a problem was recorded
     * @throws IOException if the file can't be read or is not UTF-8
     */
    public static <T> T read(Path file, Function<Table, T> reader) throws IOException {
        return parse(file.toString(), Files.readString(file), reader);
    }

    /**
     * Reads the text of a file.
     *
     * @param name the file's name in messages
     * @param text the file's text
     * @param reader reads the values from the root table; it records problems there and continues
     * @return the result of {@code reader}
     * @throws InvalidFileException if the text is not TOML or a problem was recorded
     */
    public static <T> T parse(String name, String text, Function<Table, T> reader) {
        JsonNode rootNode = parseSyntax(name, text);
        List<Problem> problems = new ArrayList<>();
        Table root = new Table(name, new KeyLines(text), problems, "", rootNode);
        T result = reader.apply(root);
        root.addUnknownKeys();
        if (!problems.isEmpty()) {
            problems.sort(Comparator.comparingInt(Problem::line));
            throw new InvalidFileException(problems);
        }
        return result;
    }

    private static JsonNode parseSyntax(String name, String text) {
        try {
            return TOML.readTree(text);
        } catch (JsonProcessingException e) {
            // The parser's message has several lines, of which the first says what is wrong.
            String firstLine = e.getOriginalMessage().replaceAll("\\s*\\R.*", "");
            throw new InvalidFileException(
                    List.of(new Problem(name, lineOf(e.getLocation()), "", "not TOML: " + firstLine)));
        }
    }

    private static int lineOf(JsonLocation location) {
        return location == null ? 1 : Math.max(1, location.getLineNr());
    }
}
