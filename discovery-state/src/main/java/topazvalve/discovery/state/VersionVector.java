package topazvalve.discovery.state;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.StringJoiner;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * The version of an endpoint list that is merged from several sources: one {@link SourceVersion} for each source. It
 * is immutable. The text form is a list of {@code source:epoch.revision}, separated by commas and sorted by source,
 * and needs no escaping in a URL query.
 */
public final class VersionVector {
    /** The empty vector, of a list without updates from any source. */
    public static final VersionVector NONE = new VersionVector(Collections.emptySortedMap());
    /** The allowed source names, which appear in queries, log lines and metrics. */
    public static final Pattern SOURCE_NAME = Pattern.compile("[a-z0-9_-]{1,32}");
    /** The maximum number of sources that is accepted from a peer. */
    public static final int MAX_SOURCES = 32;

    private final SortedMap<String, SourceVersion> versionsBySource;

    private VersionVector(SortedMap<String, SourceVersion> versionsBySource) {
        this.versionsBySource = versionsBySource;
    }

    /** Returns the vector of a single source. */
    public static VersionVector of(String source, SourceVersion version) {
        return NONE.with(source, version);
    }

    /**
     * Parses the text form; the empty text is {@link #NONE}.
     *
     * @throws InvalidVersionException if the text has another form, contains a source twice, or contains more than
     *     {@link #MAX_SOURCES}
     */
    public static VersionVector parse(String text) {
        if (text.isEmpty()) {
            return NONE;
        }
        String[] parts = text.split(",", MAX_SOURCES + 1);
        if (parts.length > MAX_SOURCES) {
            throw new InvalidVersionException("more than " + MAX_SOURCES + " sources");
        }
        TreeMap<String, SourceVersion> parsed = new TreeMap<>();
        for (String part : parts) {
            int colon = part.indexOf(':');
            String source = part.substring(0, Math.max(0, colon));
            if (!SOURCE_NAME.matcher(source).matches()
                    || parsed.put(source, SourceVersion.parse(part.substring(colon + 1))) != null) {
                throw new InvalidVersionException("not a source and its version: " + part);
            }
        }
        return new VersionVector(parsed);
    }

    /** Returns the version of a source, or null if the vector does not contain the source. */
    public SourceVersion versionOf(String source) {
        return versionsBySource.get(source);
    }

    /** Returns this vector with the version of one source added or replaced. */
    public VersionVector with(String source, SourceVersion version) {
        TreeMap<String, SourceVersion> changed = new TreeMap<>(versionsBySource);
        changed.put(source, version);
        return new VersionVector(changed);
    }

    /** Returns this vector with all versions of {@code received} added or replaced, whether newer or older. */
    public VersionVector merge(VersionVector received) {
        TreeMap<String, SourceVersion> merged = new TreeMap<>(versionsBySource);
        merged.putAll(received.versionsBySource);
        return new VersionVector(merged);
    }

    /**
     * Returns whether this vector is older than {@code other} for any source that both contain. Sources that report no
     * epoch are ignored, because a lower revision may mean that they restarted.
     */
    public boolean isBehind(VersionVector other) {
        for (Map.Entry<String, SourceVersion> each : versionsBySource.entrySet()) {
            SourceVersion own = each.getValue();
            SourceVersion theirs = other.versionOf(each.getKey());
            if (theirs != null && own.hasEpoch() && theirs.isComparableTo(own) && own.compareTo(theirs) < 0) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the vector contains no source. */
    public boolean isEmpty() {
        return versionsBySource.isEmpty();
    }

    /**
     * Returns the sum of all revisions, as a version for clients that know only a single number. It never decreases
     * unless a source restarts.
     */
    public long revisionSum() {
        return versionsBySource.values().stream()
                .mapToLong(SourceVersion::revision)
                .sum();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof VersionVector vector && versionsBySource.equals(vector.versionsBySource);
    }

    @Override
    public int hashCode() {
        return versionsBySource.hashCode();
    }

    @Override
    public String toString() {
        StringJoiner text = new StringJoiner(",");
        versionsBySource.forEach((source, version) -> text.add(source + ":" + version));
        return text.toString();
    }
}
