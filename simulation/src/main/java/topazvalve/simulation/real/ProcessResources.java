package topazvalve.simulation.real;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * What a process holds, by proc(5).
 *
 * @param memoryMegabytes the memory that it has to itself, in units of 2^20 bytes; pages of files are not part of it
 * @param descriptors its open file descriptors
 * @param threads its threads
 */
public record ProcessResources(long memoryMegabytes, long descriptors, long threads) {
    private static final int KILOBYTE_SHIFT = 10;

    /**
     * Returns what a process holds now.
     *
     * @throws IOException if the process has ended
     */
    static ProcessResources of(long pid) throws IOException {
        Path directory = Path.of("/proc/" + pid);
        long kilobytes = 0;
        for (String line : Files.readAllLines(directory.resolve("status"))) {
            if (line.startsWith("RssAnon:") || line.startsWith("RssShmem:")) {
                kilobytes += Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        return new ProcessResources(
                kilobytes >> KILOBYTE_SHIFT, entries(directory.resolve("fd")), entries(directory.resolve("task")));
    }

    private static long entries(Path directory) throws IOException {
        try (Stream<Path> entries = Files.list(directory)) {
            return entries.count();
        }
    }

    @Override
    public String toString() {
        return memoryMegabytes + " MB, " + descriptors + " descriptors, " + threads + " threads";
    }
}
