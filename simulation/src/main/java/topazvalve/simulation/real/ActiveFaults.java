package topazvalve.simulation.real;

import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.model.FaultInjector;

/** The faults that have begun and not ended, as the recorded events tell. */
final class ActiveFaults {
    private final List<String> active = new ArrayList<>();

    /** An event was recorded; without effect unless it is the begin or end of a fault. */
    void eventRecorded(String what) {
        if (what.startsWith(FaultInjector.BEGIN_PREFIX)) {
            active.add(what.substring(FaultInjector.BEGIN_PREFIX.length()));
        } else if (what.startsWith(FaultInjector.END_PREFIX)) {
            active.remove(what.substring(FaultInjector.END_PREFIX.length()));
        }
    }

    /** Returns their descriptions, separated by commas. */
    @Override
    public String toString() {
        return String.join(", ", active);
    }
}
