package topazvalve.sidecar.admin;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.lifecycle.ProcessLifecycle;

/** The paths of the admin endpoint and the action of each. */
final class AdminRoutes {
    private static final Logger LOG = LoggerFactory.getLogger("admin");

    /**
     * The response to a request.
     *
     * @param allow the method that the path accepts, if the request used another; null otherwise
     */
    record Response(HttpResponseStatus status, String text, HttpMethod allow) {
        private Response(HttpResponseStatus status, String text) {
            this(status, text, null);
        }

        /** Returns the response to an invalid HTTP request. */
        static Response badRequest() {
            return new Response(HttpResponseStatus.BAD_REQUEST, "not a call\n");
        }
    }

    private record Route(HttpMethod method, Supplier<Response> action) {}

    private final Map<String, Route> routes;

    AdminRoutes(ProcessLifecycle lifecycle, Supplier<String> metricsText) {
        routes = Map.of(
                "/_ready", new Route(HttpMethod.GET, () -> ready(lifecycle)),
                "/_vars", new Route(HttpMethod.GET, () -> new Response(HttpResponseStatus.OK, metricsText.get())),
                "/_lameduck/on", new Route(HttpMethod.POST, () -> setLameDuck(lifecycle, true)),
                "/_lameduck/off", new Route(HttpMethod.POST, () -> setLameDuck(lifecycle, false)));
    }

    /** Handles a request; responds with 404 for an unknown path and with 405 for a wrong method. */
    Response handle(HttpMethod method, String path) {
        Route route = routes.get(path);
        if (route == null) {
            return new Response(HttpResponseStatus.NOT_FOUND, "no such call\n");
        }
        if (!method.equals(route.method)) {
            return new Response(HttpResponseStatus.METHOD_NOT_ALLOWED, "use " + route.method + "\n", route.method);
        }
        return route.action.get();
    }

    private static Response ready(ProcessLifecycle lifecycle) {
        return lifecycle.acceptsClients()
                ? new Response(HttpResponseStatus.OK, "yes\n")
                : new Response(HttpResponseStatus.SERVICE_UNAVAILABLE, "no\n");
    }

    private static Response setLameDuck(ProcessLifecycle lifecycle, boolean on) {
        if (!lifecycle.setLameDuck(on)) {
            return new Response(HttpResponseStatus.CONFLICT, "ending\n");
        }
        LOG.info("lame duck {}", on ? "on: draining" : "off: accepting clients again");
        return new Response(HttpResponseStatus.OK, on ? "emptying\n" : "taking clients\n");
    }
}
