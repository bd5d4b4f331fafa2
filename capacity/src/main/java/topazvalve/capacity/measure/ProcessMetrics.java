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

/** CPU and memory of a process, from {@code /proc} on Linux and the JDK's {@code jcmd}. */
final class ProcessMetrics {
    private static final double KIB_PER_MIB = 1024;
    private static final double BYTES_PER_KIB = 1024;
    private static final int JCMD_TIMEOUT_SECONDS = 10;
    private static final int JCMD_BYTES_COLUMN = 2;

    private ProcessMetrics() {}

    /** Returns the CPU time of each live thread by its id, in nanoseconds. */
    static Map<String, Long> threadCpuNanos(long pid) throws IOException {
        Map<String, Long> nanosByThread = new HashMap<>();
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc/" + pid + "/task"))) {
            for (Path thread : threads) {
                try {
                    String schedstat = Files.readString(thread.resolve("schedstat"));
                    nanosByThread.put(
                            thread.getFileName().toString(),
                            Long.parseLong(schedstat.split(" ")[0]));
                } catch (NoSuchFileException ignored) {
                    // The thread has ended since the directory was listed.
                }
            }
        }
        return nanosByThread;
    }

    /**
     * Returns the CPU time that the threads alive now have used since an earlier snapshot, in nanoseconds. The JVM ends
     * idle compiler threads; the difference of two sums over all threads would therefore be too low by the CPU time of
     * the ended threads.
     */
    static long cpuNanosSince(Map<String, Long> earlierNanos, long pid) throws IOException {
        return threadCpuNanos(pid).entrySet().stream()
                .mapToLong(thread -> thread.getValue() - earlierNanos.getOrDefault(thread.getKey(), 0L))
                .sum();
    }

    /** Returns the CPU time of the process since its start, in nanoseconds, at the system's resolution (10 ms). */
    static long totalCpuNanos(ProcessHandle process) {
        return process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos();
    }

    /** Returns the resident memory in MiB. */
    static double residentMib(long pid) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .findFirst()
                .map(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) / KIB_PER_MIB)
                .orElseThrow(() -> new MeasurementException("no VmRSS for process " + pid));
    }

    /** Returns the live heap in MiB; this triggers a full garbage collection. */
    static double liveHeapMib(long pid) throws IOException, InterruptedException {
        Process jcmd = new ProcessBuilder(ChildProcess.jdkTool("jcmd"), Long.toString(pid), "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        double mib = -1;
        try (BufferedReader lines = jcmd.inputReader()) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (line.startsWith("Total")) {
                    long bytes = Long.parseLong(line.trim().split("\\s+")[JCMD_BYTES_COLUMN]);
                    mib = bytes / BYTES_PER_KIB / KIB_PER_MIB;
                }
            }
        }
        if (!jcmd.waitFor(JCMD_TIMEOUT_SECONDS, TimeUnit.SECONDS) || mib < 0) {
            throw new MeasurementException("jcmd reported no live heap for process " + pid);
        }
        return mib;
    }
}
