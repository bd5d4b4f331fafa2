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

/** Reads a TOML file as a whole: it is accepted without a problem, or rejected with all of its problems. */
public final class TomlFile {
    private static final TomlMapper TOML = new TomlMapper();

    private TomlFile() {}

    /**
     * Reads a file, whose path stands for it in messages.
     *
     * @param reader reads the values from the root table; it notes problems there and goes on
     * @return what {@code reader} has read
     * @throws InvalidFileException if the file is not TOML or a problem was noted
     * @throws IOException if the file can't be read, or is not UTF-8
     */
    public static <T> T read(Path file, Function<Table, T> reader) throws IOException {
        return parse(file.toString(), Files.readString(file), reader);
    }

    /**
     * Reads the text of a file.
     *
     * @param name stands for the file in messages
     * @param text the file's text
     * @param reader reads the values from the root table; it notes problems there and goes on
     * @return what {@code reader} has read
     * @throws InvalidFileException if the text is not TOML or a problem was noted
     */
    public static <T> T parse(String name, String text, Function<Table, T> reader) {
        JsonNode rootNode = parseSyntax(name, text);
        List<Problem> problems = new ArrayList<>();
        Table root = new Table(name, new KeyLines(text), problems, "", rootNode);
        T result = reader.apply(root);
        root.finish();
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
            // The parser's message is of several lines; the first one says what is wrong.
            String firstLine = e.getOriginalMessage().replaceAll("\\s*\\R.*", "");
            throw new InvalidFileException(
                    List.of(new Problem(name, lineOf(e.getLocation()), "", "not TOML: " + firstLine)));
        }
    }

    private static int lineOf(JsonLocation location) {
        return location == null ? 1 : Math.max(1, location.getLineNr());
    }
}
