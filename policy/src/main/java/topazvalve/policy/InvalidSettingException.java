package topazvalve.policy;

/** Thrown when a setting is missing, can't be read or is out of bounds. */
public final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;
    private final String path;

    InvalidSettingException(String path, String message) {
        super(message);
        this.path = path;
    }

    /** Throws unless {@code holds}; {@code setting} names the values that were checked. */
    static void require(boolean holds, String setting) {
        if (!holds) {
            throw new InvalidSettingException(setting, "setting makes no sense: " + setting);
        }
    }

    /** Returns the setting's path in the settings file, or a name for values from several paths. */
    public String path() {
        return path;
    }
}
