package topazvalve.discovery.state;

/** Thrown if a text or a pair of numbers is not a valid {@link SourceVersion} or {@link VersionVector}. */
public final class InvalidVersionException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    /** Creates an exception whose message describes the problem. */
    public InvalidVersionException(String message) {
        super(message);
    }
}
