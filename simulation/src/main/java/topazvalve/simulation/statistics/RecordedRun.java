package topazvalve.simulation.statistics;

import topazvalve.simulation.model.FaultTarget;
import topazvalve.simulation.oracle.Oracle;
import topazvalve.simulation.scenario.Scenario;

/** A run of a scenario, in virtual or real time, whose requests are recorded. */
public interface RecordedRun extends FaultTarget {
    /** Returns the scenario that is run. */
    Scenario scenario();

    /** Returns the recorder of the run. */
    RunRecorder recorder();

    /** Returns when the run started, in nanoseconds of the clock. */
    long startedAt();

    /** Returns the oracle that checks the run. */
    default Oracle oracle() {
        return recorder().oracle();
    }

    /** Returns the statistics of the run. */
    default RunStatistics statistics() {
        return recorder().statistics();
    }

    /** Returns when clients stop sending, in nanoseconds of the clock. */
    default long endsAt() {
        return startedAt() + scenario().length();
    }

    /** Returns the nanoseconds since the start. */
    default long elapsed() {
        return clock().now() - startedAt();
    }

    /** Converts a time of the clock to nanoseconds since the start. */
    default long sinceStart(long time) {
        return time - startedAt();
    }
}
