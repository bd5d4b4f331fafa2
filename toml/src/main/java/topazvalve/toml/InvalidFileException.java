package topazvalve.toml;

import java.util.List;
import java.util.stream.Collectors;

/** A file is refused; the message has one line for each fault, and nothing of the file is played. */
public final class InvalidFileException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;
    private final transient List<Problem> problems;

    InvalidFileException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** All faults, in the file's order. */
    public List<Problem> problems() {
        return problems;
    }
}
