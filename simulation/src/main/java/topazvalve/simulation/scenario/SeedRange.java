package topazvalve.simulation.scenario;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The seeds of an experiment, from the first to the last (inclusive); at most 10,000. */
public record SeedRange(long first, long last) {
    private static final Pattern TEXT = Pattern.compile("([0-9]{1,9})(?:(?:\\.\\.|-)([0-9]{1,9}))?");
    private static final int MAX_SEEDS = 10_000;

    /** Parses a range such as {@code 1..20} or {@code 1-20}, or a single seed; returns empty if the text is invalid. */
    public static Optional<SeedRange> parse(String text) {
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long first = Long.parseLong(matcher.group(1));
        long last = matcher.group(2) == null ? first : Long.parseLong(matcher.group(2));
        if (last < first || last - first >= MAX_SEEDS) {
            return Optional.empty();
        }
        return Optional.of(new SeedRange(first, last));
    }
}
