package topazvalve.toml;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a file is rejected as a whole. The message has one line for each problem. */
public final class InvalidFileException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;
    private final transient List<Problem> problems;

    InvalidFileException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns all problems, in the order of their lines in the file. */
    public List<Problem> problems() {
        return problems;
    }
}
