package topazvalve.discovery.state;

/** Thrown where a text or a pair of numbers is not a valid {@link SourceVersion} or {@link VersionVector}. */
public final class InvalidVersionException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    /** Creates an exception whose message says what is wrong with the version. */
    public InvalidVersionException(String message) {
        super(message);
    }
}
