package topazvalve.capacity.measure;

import java.nio.file.Path;
import topazvalve.capacity.plan.CapacityPlan;

/**
 * What all measurements of a run share.
 *
 * @param plan the plan whose sizes are approached
 * @param repositoryRoot where the packaged programs are
 * @param workFolder where the measured processes' files go
 * @param quick whether to measure fewer sizes and for a shorter time
 * @param recorder takes the results
 */
record MeasurementContext(
        CapacityPlan plan, Path repositoryRoot, Path workFolder, boolean quick, MeasurementRecorder recorder) {

    /** Returns the number of servers in the plan's endpoint list. */
    int servers() {
        return plan.fleet().servers();
    }

    /** Returns the time between heartbeats, which are empty lines, on an idle watch, in milliseconds. */
    long heartbeatIntervalMillis() {
        return plan.source().heartbeatIntervalNanos() / 1_000_000;
    }

    /** Returns one of two values, for a quick run or a full one. */
    int quickOrFull(int quickValue, int fullValue) {
        return quick ? quickValue : fullValue;
    }
}
