package topazvalve.hollowfleet.run;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads values from {@code /proc} on Linux. */
final class ProcFiles {
    /** Returned if the system does not provide the value. */
    static final long UNKNOWN = -1;

    private static final int MAX_BYTES = 4_096;
    private static final long BYTES_PER_KIB = 1_024;
    private static final Path CPU_PRESSURE = Path.of("/proc/pressure/cpu");
    private static final Pattern PRESSURE_TOTAL = Pattern.compile("some .*total=(\\d+)");

    private ProcFiles() {}

    /** Reads a small file in a single read, since the kernel returns the value of a setting only to the first one. */
    static String read(Path file) throws IOException {
        try (InputStream in = Files.newInputStream(file)) {
            return new String(in.readNBytes(MAX_BYTES), StandardCharsets.US_ASCII);
        }
    }

    /** Returns the time for which any thread has waited for a CPU since boot, in microseconds, or {@link #UNKNOWN}. */
    static long cpuPressureMicros() {
        try {
            Matcher total = PRESSURE_TOTAL.matcher(read(CPU_PRESSURE));
            return total.find() ? Long.parseLong(total.group(1)) : UNKNOWN;
        } catch (IOException e) {
            return UNKNOWN;
        }
    }

    /** Returns the resident memory of a process in bytes, or 0 if it has ended. */
    static long residentBytes(long pid) {
        try {
            return Files.readString(Path.of("/proc/" + pid + "/status"), StandardCharsets.US_ASCII)
                            .lines()
                            .filter(line -> line.startsWith("VmRSS:"))
                            .map(line -> line.replaceAll("\\D", ""))
                            .mapToLong(Long::parseLong)
                            .findFirst()
                            .orElse(0)
                    * BYTES_PER_KIB;
        } catch (IOException e) {
            return 0;
        }
    }
}
