package topazvalve.simulation.real;

import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.model.FaultInjector;

/** The faults that are active at present, derived from the recorded events. */
final class ActiveFaults {
    private final List<String> active = new ArrayList<>();

    /** Updates the active faults if the event is the beginning or the end of one. */
    void eventRecorded(String event) {
        if (event.startsWith(FaultInjector.BEGIN_PREFIX)) {
            active.add(event.substring(FaultInjector.BEGIN_PREFIX.length()));
        } else if (event.startsWith(FaultInjector.END_PREFIX)) {
            active.remove(event.substring(FaultInjector.END_PREFIX.length()));
        }
    }

    /** Returns the descriptions of the active faults, separated by commas. */
    @Override
    public String toString() {
        return String.join(", ", active);
    }
}
