package topazvalve.simulation.measure;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures how long a sidecar takes until it is ready, alone on a core or with busy processes on it: the fair scheduler
 * of the system gives each of n processes one n-th of the core.
 */
public final class StartMeasurement {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

    /**
     * The start times of a sidecar that shares a core with busy processes.
     *
     * @param processes the number of processes that share the core
     * @param seconds how long each start took, sorted
     * @param cpuSeconds the CPU time of each start, sorted
     */
    public record StartTimes(int processes, List<Double> seconds, List<Double> cpuSeconds) {
        /** Returns the median of the durations in seconds. */
        public double median() {
            return seconds.get(seconds.size() / 2);
        }

        /** Returns the median of the CPU times in seconds. */
        public double medianCpu() {
            return cpuSeconds.get(cpuSeconds.size() / 2);
        }
    }

    private StartMeasurement() {}

    /**
     * Starts a sidecar several times, one start after the other.
     *
     * @param repositoryRoot the root of the repository
     * @param workDirectory the directory for the configuration
     * @param core the core that all processes are pinned to; negative for any
     * @param processes the number of processes that share the core, the sidecar included
     * @param starts the number of starts
     */
    public static StartTimes run(Path repositoryRoot, Path workDirectory, int core, int processes, int starts)
            throws IOException, InterruptedException {
        List<Process> busyProcesses = new ArrayList<>();
        List<Double> seconds = new ArrayList<>();
        List<Double> cpuSeconds = new ArrayList<>();
        try {
            for (int i = 1; i < processes; i++) {
                busyProcesses.add(new ProcessBuilder(
                                MeasuredSidecarProcess.pinnedCommand(core, "/bin/sh", "-c", "while :; do :; done"))
                        .start());
            }
            for (int i = 0; i < starts; i++) {
                MeasuredSidecarProcess sidecar = MeasuredSidecarProcess.start(
                        repositoryRoot, workDirectory, MeasuredSidecarProcess.configuration(), core);
                try {
                    seconds.add(sidecar.awaitReady(START_TIMEOUT) / NANOS_PER_SECOND);
                    cpuSeconds.add(sidecar.cpuTime().toNanos() / NANOS_PER_SECOND);
                } finally {
                    sidecar.stop();
                }
            }
        } finally {
            busyProcesses.forEach(Process::destroyForcibly);
        }
        seconds.sort(Double::compare);
        cpuSeconds.sort(Double::compare);
        return new StartTimes(processes, seconds, cpuSeconds);
    }
}
