package topazvalve.lists;

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
public final class Versions {
    public static final Versions NONE = new Versions(Collections.emptySortedMap());
    /** What a source may be called: it stands in queries, log lines and figures. */
    public static final Pattern SOURCE = Pattern.compile("[a-z0-9_-]{1,32}");
    /** More sources than any plan has; what comes from outside is bounded. */
    public static final int MOST_SOURCES = 32;

    private final SortedMap<String, Version> bySource;

    private Versions(SortedMap<String, Version> bySource) {
        this.bySource = bySource;
    }

    public static Versions of(String source, Version version) {
        return NONE.with(source, version);
    }

    /** Reads what {@link #toString} writes; an {@link IllegalArgumentException} says what is wrong. */
    public static Versions parse(String text) {
        if (text.isEmpty()) {
            return NONE;
        }
        String[] parts = text.split(",", MOST_SOURCES + 1);
        if (parts.length > MOST_SOURCES) {
            throw new IllegalArgumentException("more than " + MOST_SOURCES + " sources");
        }
        TreeMap<String, Version> read = new TreeMap<>();
        for (String part : parts) {
            int colon = part.indexOf(':');
            String source = part.substring(0, Math.max(0, colon));
            if (!SOURCE.matcher(source).matches()
                    || read.put(source, Version.parse(part.substring(colon + 1))) != null) {
                throw new IllegalArgumentException("not a source and its version: " + part);
            }
        }
        return new Versions(read);
    }

    /** The version at a source; null where nothing is known of it. */
    public Version at(String source) {
        return bySource.get(source);
    }

    public Versions with(String source, Version version) {
        TreeMap<String, Version> changed = new TreeMap<>(bySource);
        changed.put(source, version);
        return new Versions(changed);
    }

    /** What is known once {@code told} was heard: its word on each source it names, ours on the others. */
    public Versions after(Versions told) {
        TreeMap<String, Version> merged = new TreeMap<>(bySource);
        merged.putAll(told.bySource);
        return new Versions(merged);
    }

    /** Whether this is, at any source that both know and can compare, older than {@code other}. */
    public boolean behind(Versions other) {
        for (Map.Entry<String, Version> each : bySource.entrySet()) {
            Version theirs = other.at(each.getKey());
            if (theirs != null
                    && each.getValue().epoch() > 0
                    && theirs.comparable(each.getValue())
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
    public long sum() {
        return bySource.values().stream().mapToLong(Version::rev).sum();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Versions versions && bySource.equals(versions.bySource);
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
