package topazvalve.discovery.state;

/**
 * How far one source's list has come.
 *
 * @param epoch which life of the source counted it, larger for a later one; 0 where the source does not say
 * @param revision the source's own count within that life, never less from one change to the next
 */
public record SourceVersion(long epoch, long revision) implements Comparable<SourceVersion> {
    /** Before the first change of a source that tells no epoch. */
    public static final SourceVersion NONE = new SourceVersion(0, 0);

    /** Versions can't be below nought. */
    public SourceVersion {
        if (epoch < 0 || revision < 0) {
            throw new IllegalArgumentException("a version below nought: " + epoch + "." + revision);
        }
    }

    /**
     * Whether the order of these two can be told. A source that tells no epoch may have begun anew between
     * any two of its versions, so that only the one that told both can say; and one life that is known is
     * in no order with one that is not.
     */
    public boolean isComparableTo(SourceVersion other) {
        return (epoch == 0) == (other.epoch == 0);
    }

    @Override
    public int compareTo(SourceVersion other) {
        return epoch != other.epoch ? Long.compare(epoch, other.epoch) : Long.compare(revision, other.revision);
    }

    @Override
    public String toString() {
        return epoch + "." + revision;
    }

    /** Reads {@code epoch.rev}; an {@link IllegalArgumentException} says what is wrong. */
    static SourceVersion parse(String text) {
        int dot = text.indexOf('.');
        if (dot < 1 || !text.matches("[0-9]{1,18}\\.[0-9]{1,18}")) {
            throw new IllegalArgumentException("not a version: " + text);
        }
        return new SourceVersion(Long.parseLong(text.substring(0, dot)), Long.parseLong(text.substring(dot + 1)));
    }
}
