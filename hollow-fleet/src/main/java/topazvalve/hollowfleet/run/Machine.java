package topazvalve.hollowfleet.run;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the system tells of itself under {@code /proc}. */
final class Machine {
    private static final int MOST_BYTES = 4_096;
    private static final Path PRESSURE = Path.of("/proc/pressure/cpu");
    private static final Pattern TOTAL = Pattern.compile("some .*total=(\\d+)");

    private Machine() {}

    /** A small file in one piece: the kernel tells a setting to the first read alone, however short. */
    static String read(Path file) throws IOException {
        try (InputStream in = Files.newInputStream(file)) {
            return new String(in.readNBytes(MOST_BYTES), StandardCharsets.US_ASCII);
        }
    }

    /** For how long something has waited for a processor since the start; -1 where it is not told. */
    static long starvedMicros() {
        try {
            Matcher total = TOTAL.matcher(read(PRESSURE));
            return total.find() ? Long.parseLong(total.group(1)) : -1;
        } catch (IOException e) {
            return -1;
        }
    }
}
