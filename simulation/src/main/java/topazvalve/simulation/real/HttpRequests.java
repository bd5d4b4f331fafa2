package topazvalve.simulation.real;

import topazvalve.simulation.scenario.RequestClassSpec;
import topazvalve.simulation.scenario.RequestClassSpec.Repeatability;

/** Requests as text, for clients that write them without an HTTP encoder. */
final class HttpRequests {
    private HttpRequests() {}

    /** Returns a request without a body of a class. */
    static String text(String id, RequestClassSpec requestClass, long deadlineMillis) {
        boolean isGet = requestClass.repeatability() == Repeatability.FREE;
        boolean isKeyed = requestClass.repeatability() == Repeatability.KEYED;
        return (isGet ? "GET" : "POST") + " /api/1 HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: "
                + requestClass.name() + "\r\nReq-Deadline-Ms: " + deadlineMillis + "\r\n"
                + (isKeyed ? "Idempotency-Key: " + id + "\r\n" : "")
                + (isGet ? "\r\n" : "Content-Length: 0\r\n\r\n");
    }
}
