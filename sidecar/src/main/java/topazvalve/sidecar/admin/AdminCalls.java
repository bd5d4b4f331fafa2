package topazvalve.sidecar.admin;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.lifecycle.Lifecycle;

/** What operators can ask and order. */
final class AdminCalls {
    private static final Logger LOG = LoggerFactory.getLogger("admin");

    /** An answer; {@code allow} names the method that the path takes, where another was used. */
    record Reply(HttpResponseStatus status, String text, HttpMethod allow) {
        private Reply(HttpResponseStatus status, String text) {
            this(status, text, null);
        }
    }

    private record Call(HttpMethod method, Supplier<Reply> action) {}

    private final Map<String, Call> calls;

    AdminCalls(Lifecycle lifecycle, Supplier<String> figures) {
        calls = Map.of(
                "/_ready", new Call(HttpMethod.GET, () -> ready(lifecycle)),
                "/_vars", new Call(HttpMethod.GET, () -> new Reply(HttpResponseStatus.OK, figures.get())),
                "/_lameduck/on", new Call(HttpMethod.POST, () -> lameDuck(lifecycle, true)),
                "/_lameduck/off", new Call(HttpMethod.POST, () -> lameDuck(lifecycle, false)));
    }

    Reply answer(HttpMethod method, String path) {
        Call call = calls.get(path);
        if (call == null) {
            return new Reply(HttpResponseStatus.NOT_FOUND, "no such call\n");
        }
        if (!method.equals(call.method)) {
            return new Reply(HttpResponseStatus.METHOD_NOT_ALLOWED, "use " + call.method + "\n", call.method);
        }
        return call.action.get();
    }

    private static Reply ready(Lifecycle lifecycle) {
        return lifecycle.acceptsClients()
                ? new Reply(HttpResponseStatus.OK, "yes\n")
                : new Reply(HttpResponseStatus.SERVICE_UNAVAILABLE, "no\n");
    }

    private static Reply lameDuck(Lifecycle lifecycle, boolean on) {
        if (!lifecycle.setLameDuck(on)) {
            return new Reply(HttpResponseStatus.CONFLICT, "ending\n");
        }
        LOG.info("lame duck {}", on ? "on: emptying" : "off: taking clients again");
        return new Reply(HttpResponseStatus.OK, on ? "emptying\n" : "taking clients\n");
    }
}
