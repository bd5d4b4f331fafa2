package topazvalve.hollowfleet.history;

/** Converts between servers' numbers and names. A name contains the number, so no lookup table is needed. */
public final class ServerNames {
    private static final String PREFIX = "s-";
    private static final int HEXADECIMAL = 16;
    private static final int UNKNOWN = -1;

    private ServerNames() {}

    /** Returns a server's name: {@code s-} and eight hexadecimal digits. */
    public static String nameOf(int server) {
        return String.format(PREFIX + "%08x", server);
    }

    /** Returns the number in a server's name, or -1 if the name is not that of a server. */
    public static int numberOf(String name) {
        if (!name.startsWith(PREFIX)) {
            return UNKNOWN;
        }
        try {
            return Integer.parseInt(name, PREFIX.length(), name.length(), HEXADECIMAL);
        } catch (NumberFormatException e) {
            return UNKNOWN;
        }
    }
}
