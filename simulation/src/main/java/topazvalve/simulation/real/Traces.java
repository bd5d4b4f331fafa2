package topazvalve.simulation.real;

import java.util.HashMap;
import java.util.Map;
import topazvalve.simulation.oracle.Trace;

/** The requests that clients have sent, by the id that travels with them. */
final class Traces {
    /** One that was sent. */
    record Sent(Trace trace, int instance, int requestClass, long key, double work, long deadline) {}

    private final Map<String, Sent> sent = new HashMap<>();

    static String id(int instance, long number) {
        return "i" + instance + "-" + number;
    }

    void put(String id, Sent request) {
        sent.put(id, request);
    }

    Sent get(String id) {
        return id == null ? null : sent.get(id);
    }

    void remove(String id) {
        sent.remove(id);
    }
}
