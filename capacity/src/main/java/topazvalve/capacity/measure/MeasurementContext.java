package topazvalve.capacity.measure;

import java.nio.file.Path;
import topazvalve.capacity.plan.CapacityPlan;

/**
 * The parameters and the recorder that all measurements of a run share.
 *
 * @param plan the plan that determines the measured sizes
 * @param repositoryRoot the directory that contains the packaged programs
 * @param workFolder the directory for the files of the measured processes
 * @param quick whether to measure fewer sizes and for a shorter time
 * @param recorder receives the results
 */
record MeasurementContext(
        CapacityPlan plan, Path repositoryRoot, Path workFolder, boolean quick, MeasurementRecorder recorder) {

    /** Returns the number of servers in the plan's endpoint list. */
    int servers() {
        return plan.fleet().servers();
    }

    /** Returns the interval of the heartbeats (empty lines) on an idle watch, in milliseconds. */
    long heartbeatIntervalMillis() {
        return plan.source().heartbeatIntervalNanos() / 1_000_000;
    }

    /** Returns the value for the kind of this run. */
    int quickOrFull(int quickValue, int fullValue) {
        return quick ? quickValue : fullValue;
    }
}
