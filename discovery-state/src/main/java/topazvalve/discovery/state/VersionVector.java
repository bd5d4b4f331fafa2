package topazvalve.discovery.state;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.StringJoiner;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * How far a list has come at each of its sources: a version vector. It can't change; written as
 * {@code source:epoch.rev} with commas, in the sources' order by name, which needs no escapes in a query.
 */
public final class VersionVector {
    public static final VersionVector NONE = new VersionVector(Collections.emptySortedMap());
    /** What a source may be called: it stands in queries, log lines and figures. */
    public static final Pattern SOURCE_NAME = Pattern.compile("[a-z0-9_-]{1,32}");
    /** More sources than any plan has; what comes from outside is bounded. */
    public static final int MAX_SOURCES = 32;

    private final SortedMap<String, SourceVersion> bySource;

    private VersionVector(SortedMap<String, SourceVersion> bySource) {
        this.bySource = bySource;
    }

    public static VersionVector of(String source, SourceVersion version) {
        return NONE.with(source, version);
    }

    /** Reads what {@link #toString} writes; an {@link IllegalArgumentException} says what is wrong. */
    public static VersionVector parse(String text) {
        if (text.isEmpty()) {
            return NONE;
        }
        String[] parts = text.split(",", MAX_SOURCES + 1);
        if (parts.length > MAX_SOURCES) {
            throw new IllegalArgumentException("more than " + MAX_SOURCES + " sources");
        }
        TreeMap<String, SourceVersion> read = new TreeMap<>();
        for (String part : parts) {
            int colon = part.indexOf(':');
            String source = part.substring(0, Math.max(0, colon));
            if (!SOURCE_NAME.matcher(source).matches()
                    || read.put(source, SourceVersion.parse(part.substring(colon + 1))) != null) {
                throw new IllegalArgumentException("not a source and its version: " + part);
            }
        }
        return new VersionVector(read);
    }

    /** The version at a source; null where nothing is known of it. */
    public SourceVersion versionOf(String source) {
        return bySource.get(source);
    }

    public VersionVector with(String source, SourceVersion version) {
        TreeMap<String, SourceVersion> changed = new TreeMap<>(bySource);
        changed.put(source, version);
        return new VersionVector(changed);
    }

    /** What is known once {@code told} was heard: its word on each source it names, ours on the others. */
    public VersionVector merge(VersionVector told) {
        TreeMap<String, SourceVersion> merged = new TreeMap<>(bySource);
        merged.putAll(told.bySource);
        return new VersionVector(merged);
    }

    /** Whether this is, at any source that both know and can compare, older than {@code other}. */
    public boolean isBehind(VersionVector other) {
        for (Map.Entry<String, SourceVersion> each : bySource.entrySet()) {
            SourceVersion theirs = other.versionOf(each.getKey());
            if (theirs != null
                    && each.getValue().epoch() > 0
                    && theirs.isComparableTo(each.getValue())
                    && each.getValue().compareTo(theirs) < 0) {
                return true;
            }
        }
        return false;
    }

    public boolean isEmpty() {
        return bySource.isEmpty();
    }

    /** One number for readers that know of no sources: never less as sources' lists go on in one life. */
    public long revisionSum() {
        return bySource.values().stream().mapToLong(SourceVersion::revision).sum();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof VersionVector versions && bySource.equals(versions.bySource);
    }

    @Override
    public int hashCode() {
        return bySource.hashCode();
    }

    @Override
    public String toString() {
        StringJoiner text = new StringJoiner(",");
        bySource.forEach((source, version) -> text.add(source + ":" + version));
        return text.toString();
    }
}
