package topazvalve.policy;

/** Thrown when a setting is missing, is malformed or is out of bounds. */
public final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;
    private final String path;

    InvalidSettingException(String path, String message) {
        super(message);
        this.path = path;
    }

    /** Throws this exception unless {@code valid}; {@code setting} names the values that were checked. */
    static void require(boolean valid, String setting) {
        if (!valid) {
            throw new InvalidSettingException(setting, "invalid setting: " + setting);
        }
    }

    /** Returns the setting's path in the settings file, or a name for values from several paths. */
    public String path() {
        return path;
    }
}
