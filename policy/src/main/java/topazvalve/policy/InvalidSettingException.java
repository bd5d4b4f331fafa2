package topazvalve.policy;

/** Thrown when a setting is missing, can't be read or is out of bounds. */
public final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;
    private final String path;

    InvalidSettingException(String path, String message) {
        super(message);
        this.path = path;
    }

    /** The setting's path in the settings file, or its name where values from several paths are checked together. */
    public String path() {
        return path;
    }
}
