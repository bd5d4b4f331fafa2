package topazvalve.capacity.measure;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What the system says of a process (Linux: {@code /proc}), and what its JVM says of its heap. */
final class ProcessFigures {
    private static final double KIB_PER_MIB = 1024;

    private ProcessFigures() {}

    /** CPU that each of its live threads has had, in nanoseconds. */
    static Map<String, Long> cpu(long pid) throws IOException {
        Map<String, Long> had = new HashMap<>();
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(Path.of("/proc/" + pid + "/task"))) {
            for (Path task : tasks) {
                try {
                    had.put(
                            task.getFileName().toString(),
                            Long.parseLong(
                                    Files.readString(task.resolve("schedstat")).split(" ")[0]));
                } catch (NoSuchFileException e) {
                    // The thread has just ended.

                }
            }
        }
        return had;
    }

    /**
     * CPU since then, in nanoseconds, of the threads that live now: the JVM ends its compilers' threads when
     * they have nothing to do, and a sum over all would fall by what these have had.
     */
    static long cpuSince(Map<String, Long> before, long pid) throws IOException {
        return cpu(pid).entrySet().stream()
                .mapToLong(each -> each.getValue() - before.getOrDefault(each.getKey(), 0L))
                .sum();
    }

    /** CPU of the whole process since it began, in nanoseconds, to a tick of the system (10 ms). */
    static long cpuNanos(ProcessHandle process) {
        return process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos();
    }

    /** Memory that is resident now, in MiB. */
    static double residentMib(long pid) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                .filter(each -> each.startsWith("VmRSS:"))
                .findFirst()
                .map(each -> Long.parseLong(each.replaceAll("[^0-9]", "")) / KIB_PER_MIB)
                .orElseThrow(() -> new IOException("no VmRSS for process " + pid));
    }

    /** Live heap after a full collection, in MiB, by the JDK's own {@code jcmd}. */
    static double liveHeapMib(long pid) throws IOException, InterruptedException {
        Process jcmd = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin/jcmd").toString(),
                        Long.toString(pid),
                        "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        double found = -1;
        try (BufferedReader lines = jcmd.inputReader()) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (line.startsWith("Total")) {
                    found = Long.parseLong(line.trim().split("\\s+")[2]) / KIB_PER_MIB / KIB_PER_MIB;
                }
            }
        }
        if (!jcmd.waitFor(10, TimeUnit.SECONDS) || found < 0) {
            throw new IOException("jcmd says nothing of process " + pid);
        }
        return found;
    }
}
