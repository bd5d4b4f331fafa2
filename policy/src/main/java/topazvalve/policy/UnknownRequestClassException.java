package topazvalve.policy;

/** Thrown when a request refers to a class that the settings do not have. */
public final class UnknownRequestClassException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;
    private final int requestClass;

    UnknownRequestClassException(int requestClass) {
        super("request of unknown class " + requestClass);
        this.requestClass = requestClass;
    }

    /** Returns the index of the unknown class. */
    public int requestClass() {
        return requestClass;
    }
}
