package topazvalve.toml;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/** Reads a whole file: all of it is sound and taken, or all its faults are told and nothing is. */
public final class TomlFile {
    private static final TomlMapper TOML = new TomlMapper();

    private TomlFile() {}

    /** Reads a text; {@code name} stands for it in messages. {@link InvalidFileException} if it has faults. */
    public static <T> T parse(String name, String text, Function<Table, T> reader) {
        List<Problem> problems = new ArrayList<>();
        JsonNode root;
        try {
            root = TOML.readTree(text);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
            throw new InvalidFileException(List.of(new Problem(
                    name, line, "", "not TOML: " + e.getOriginalMessage().replaceAll("\\s*\\R.*", ""))));
        }
        Table table = new Table(name, new KeyLines(text), problems, "", root);
        T read = reader.apply(table);
        table.finish();
        if (!problems.isEmpty()) {
            problems.sort(Comparator.comparingInt(Problem::line));
            throw new InvalidFileException(problems);
        }
        return read;
    }
}
