package topazvalve.simulation.real;

import java.util.HashMap;
import java.util.Map;
import topazvalve.simulation.oracle.Trace;

/** The requests that clients have sent, by request id, so that servers can match attempts to them. */
final class SentRequests {
    /**
     * A request that a client has sent.
     *
     * @param instance the number of the sidecar instance
     * @param requestClass the index of the request class in the scenario
     * @param work the CPU time that it needs, in nanoseconds of a standard core
     * @param deadline when the client stops waiting, in nanoseconds of the clock
     */
    record SentRequest(Trace trace, int instance, int requestClass, long key, double work, long deadline) {}

    private final Map<String, SentRequest> requests = new HashMap<>();

    /** Returns the id of the request with this number to this instance. */
    static String id(int instance, long number) {
        return "i" + instance + "-" + number;
    }

    void put(String id, SentRequest request) {
        requests.put(id, request);
    }

    /** Returns a request, or null if the id is null or unknown. */
    SentRequest get(String id) {
        return id == null ? null : requests.get(id);
    }

    void remove(String id) {
        requests.remove(id);
    }
}
