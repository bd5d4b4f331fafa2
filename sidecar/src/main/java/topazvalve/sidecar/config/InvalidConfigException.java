package topazvalve.sidecar.config;

/** Thrown for an invalid configuration; the one-line message names the key at fault. */
public final class InvalidConfigException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final String key;

    /**
     * Creates an exception with the message {@code PROBLEM: KEY}.
     *
     * @param problem what is wrong with the key, such as {@code missing}
     * @param key the dotted path of the key at fault, or the name of an environment variable
     */
    public InvalidConfigException(String problem, String key) {
        this(problem + ": " + key, key, null);
    }

    private InvalidConfigException(String message, String key, Throwable cause) {
        super(message, cause);
        this.key = key;
    }

    /** Returns an exception for a value that can't be parsed, with the message {@code PROBLEM: KEY}. */
    static InvalidConfigException unparsable(String problem, String key, Throwable cause) {
        return new InvalidConfigException(problem + ": " + key, key, cause);
    }

    /** Returns an exception for a file that is not valid JSON; its key is empty. */
    static InvalidConfigException notJson(String detail, Throwable cause) {
        return new InvalidConfigException("not JSON: " + detail, "", cause);
    }

    /** Returns the path of the key at fault; empty if the whole file is invalid. */
    public String key() {
        return key;
    }
}
