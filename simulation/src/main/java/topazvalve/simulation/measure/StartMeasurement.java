package topazvalve.simulation.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * How long a sidecar takes until it is ready, alone on a core and beside others who want it: with n - 1
 * busy processes there, the system's fair scheduler leaves it one n-th.
 */
public final class StartMeasurement {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Starts at one share of a core; times in seconds, sorted. */
    public record Share(int parts, List<Double> seconds, List<Double> cpuSeconds) {
        /** The one in the middle. */
        public double median() {
            return seconds.get(seconds.size() / 2);
        }

        /** CPU that the process had had when it was ready; the one in the middle. */
        public double medianCpu() {
            return cpuSeconds.get(cpuSeconds.size() / 2);
        }
    }

    private StartMeasurement() {}

    /** Starts it so many times, alone on the core or beside {@code parts} - 1 busy ones. */
    public static Share run(Path home, Path folder, int core, int parts, int times)
            throws IOException, InterruptedException {
        List<Process> busy = new ArrayList<>();
        List<Double> seconds = new ArrayList<>();
        List<Double> cpu = new ArrayList<>();
        try {
            for (int i = 1; i < parts; i++) {
                busy.add(
                        new ProcessBuilder(SidecarLaunch.pinned(core, "/bin/sh", "-c", "while :; do :; done")).start());
            }
            for (int i = 0; i < times; i++) {
                SidecarLaunch sidecar = SidecarLaunch.of(home, folder, SidecarLaunch.config(JSON), core);
                try {
                    seconds.add(sidecar.awaitReady(Duration.ofSeconds(60)) / 1e9);
                    cpu.add(sidecar.cpu().toNanos() / 1e9);
                } finally {
                    sidecar.end();
                }
            }
        } finally {
            busy.forEach(Process::destroyForcibly);
        }
        seconds.sort(Double::compare);
        cpu.sort(Double::compare);
        return new Share(parts, seconds, cpu);
    }
}
