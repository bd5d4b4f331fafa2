package topazvalve.hollowfleet.history;

/** Names of servers, which contain their numbers, so that no table of names is needed. */
public final class ServerNames {
    private static final String PREFIX = "s-";
    private static final int HEXADECIMAL = 16;
    private static final int UNKNOWN = -1;

    private ServerNames() {}

    /** Returns a server's name: {@code s-} and eight hexadecimal digits. */
    public static String nameOf(int server) {
        return String.format(PREFIX + "%08x", server);
    }

    /** Returns the number of the server with a name, or -1 if no server has such a name. */
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
