package topazvalve.discovery.state;

/**
 * A version of the endpoint list of one source. The text form is {@code epoch.revision}.
 *
 * @param epoch the incarnation of the source, larger for a later one; 0 if the source does not report it
 * @param revision the source's change counter within that incarnation; it never decreases
 */
public record SourceVersion(long epoch, long revision) implements Comparable<SourceVersion> {
    /** The version before the first change of a source that reports no epoch. */
    public static final SourceVersion NONE = new SourceVersion(0, 0);

    /**
     * Creates a version.
     *
     * @throws InvalidVersionException if a number is negative
     */
    public SourceVersion {
        if (epoch < 0 || revision < 0) {
            throw new InvalidVersionException("negative version: " + epoch + "." + revision);
        }
    }

    /**
     * Returns whether {@link #compareTo} is meaningful for these two versions: either both have an epoch or neither
     * has one. Without epochs the order is valid only within one incarnation, which the caller must ensure.
     */
    public boolean isComparableTo(SourceVersion other) {
        return hasEpoch() == other.hasEpoch();
    }

    /** Returns whether the source reports its incarnation. */
    boolean hasEpoch() {
        return epoch > 0;
    }

    /** Compares by epoch and then by revision. */
    @Override
    public int compareTo(SourceVersion other) {
        return epoch != other.epoch ? Long.compare(epoch, other.epoch) : Long.compare(revision, other.revision);
    }

    @Override
    public String toString() {
        return epoch + "." + revision;
    }

    /**
     * Parses the text form.
     *
     * @throws InvalidVersionException if the text has another form or a number has more than 18 digits
     */
    static SourceVersion parse(String text) {
        int dot = text.indexOf('.');
        if (dot < 1 || !text.matches("[0-9]{1,18}\\.[0-9]{1,18}")) {
            throw new InvalidVersionException("not a version: " + text);
        }
        return new SourceVersion(Long.parseLong(text.substring(0, dot)), Long.parseLong(text.substring(dot + 1)));
    }
}
