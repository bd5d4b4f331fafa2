package topazvalve.hollowfleet.truth;

/** The names of servers: their numbers, so that the oracle needs no table for each instance. */
public final class Names {
    private static final int HEX = 16;

    private Names() {}

    /** {@code s-} and eight hexadecimal digits, as long as the published form's. */
    public static String of(int server) {
        return String.format("s-%08x", server);
    }

    /** The number of a name; -1 for one that is not ours. */
    public static int number(String name) {
        try {
            return name.startsWith("s-") ? Integer.parseInt(name, 2, name.length(), HEX) : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
