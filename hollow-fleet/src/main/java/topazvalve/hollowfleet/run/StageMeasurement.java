package topazvalve.hollowfleet.run;

import java.util.stream.IntStream;
import topazvalve.hollowfleet.hollow.HollowSidecarMetrics;
import topazvalve.hollowfleet.run.StageResult.ProcessLoad;
import topazvalve.hollowfleet.run.StageResult.SourceLoad;

/** Measures a stage: reads all counters on creation, and again for the result. */
final class StageMeasurement {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final int MIB_SHIFT = 20;

    private final FleetEnvironment environment;
    private final SourceGroup sources;
    private final long startedAtNanos;
    private final long hollowCpuNanos;
    private final long packagedCpuNanos;
    private final long relayCpuNanos;
    private final long[] sourceCpuNanos;
    private final long calls;
    private final long rejectedCalls;
    private final long sentBytes;
    private final long cpuPressureMicros;

    StageMeasurement(FleetEnvironment environment) {
        this.environment = environment;
        this.sources = environment.sources();
        startedAtNanos = environment.nowNanos();
        hollowCpuNanos = environment.fleet().cpuNanos();
        packagedCpuNanos = environment.packaged().cpuNanos();
        relayCpuNanos = environment.relays().cpuNanos();
        sourceCpuNanos = sources.cpuNanos();
        calls = sources.calls();
        rejectedCalls = sources.rejectedCalls();
        sentBytes = sources.sentBytes();
        cpuPressureMicros = ProcFiles.cpuPressureMicros();
        sources.takeMaxCallsPerSecond();
        environment.fleet().takeMetrics();
    }

    /** Ends the measurement. */
    StageResult result(String name, int changes, int behind) {
        HollowSidecarMetrics hollow = environment.fleet().takeMetrics();
        double elapsedNanos = environment.nowNanos() - startedAtNanos;
        Runtime runtime = Runtime.getRuntime();
        return new StageResult(
                name,
                changes,
                behind,
                elapsedNanos / NANOS_PER_SECOND,
                hollow,
                (environment.fleet().cpuNanos() - hollowCpuNanos) / elapsedNanos,
                sourceLoad(elapsedNanos),
                relayLoad(elapsedNanos),
                packagedLoad(elapsedNanos),
                (runtime.totalMemory() - runtime.freeMemory()) >> MIB_SHIFT,
                cpuPressure(elapsedNanos),
                environment.takeNewViolations());
    }

    private SourceLoad sourceLoad(double elapsedNanos) {
        long[] cpuNanosNow = sources.cpuNanos();
        double maxCores = IntStream.range(0, cpuNanosNow.length)
                .mapToDouble(i -> (cpuNanosNow[i] - sourceCpuNanos[i]) / elapsedNanos)
                .max()
                .orElse(0);
        return new SourceLoad(
                sources.calls() - calls,
                sources.rejectedCalls() - rejectedCalls,
                sources.takeMaxCallsPerSecond(),
                sources.sentBytes() - sentBytes,
                maxCores);
    }

    private ProcessLoad relayLoad(double elapsedNanos) {
        RelayTier relays = environment.relays();
        return new ProcessLoad((relays.cpuNanos() - relayCpuNanos) / elapsedNanos, relays.maxResidentBytes());
    }

    private ProcessLoad packagedLoad(double elapsedNanos) {
        PackagedSidecars packaged = environment.packaged();
        double allCores = (packaged.cpuNanos() - packagedCpuNanos) / elapsedNanos;
        return new ProcessLoad(allCores / Math.max(1, packaged.count()), packaged.maxResidentBytes());
    }

    private double cpuPressure(double elapsedNanos) {
        if (cpuPressureMicros == ProcFiles.UNKNOWN) {
            return ProcFiles.UNKNOWN;
        }
        return (ProcFiles.cpuPressureMicros() - cpuPressureMicros) * NANOS_PER_MICRO / elapsedNanos;
    }
}
