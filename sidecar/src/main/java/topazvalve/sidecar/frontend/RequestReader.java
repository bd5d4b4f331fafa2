package topazvalve.sidecar.frontend;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import topazvalve.core.classes.ClassTable;
import topazvalve.core.exchange.ExchangeRequest;
import topazvalve.core.stream.RequestBody;
import topazvalve.policy.LoadBalancer.Idempotency;
import topazvalve.sidecar.http.Headers;
import topazvalve.sidecar.http.UpstreamRequest;

/** Reads what a request's head tells; what can't be used is an {@link IllegalArgumentException}. */
final class RequestReader {
    private static final int LONGEST_ID = 128;
    private static final String SCHEME = "http://";
    private static final String KEY = "Idempotency-Key";
    private final ClassTable classes;
    private final List<String> tenantNames;

    RequestReader(ClassTable classes, List<String> tenantNames) {
        this.classes = classes;
        this.tenantNames = tenantNames;
    }

    static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /**
     * Gives a target in absolute form (RFC 9112 3.2.2) the form that order servers know, and {@code Host}
     * what it says, which goes before that header.
     */
    static void toOriginForm(HttpRequest message) {
        String uri = message.uri();
        if (!uri.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return;
        }
        int rest = SCHEME.length();
        while (rest < uri.length() && "/?".indexOf(uri.charAt(rest)) < 0) {
            rest++;
        }
        if (rest == SCHEME.length()) {
            throw new IllegalArgumentException("no host in the target");
        }
        message.headers().set(HttpHeaderNames.HOST, uri.substring(SCHEME.length(), rest));
        message.setUri(uri.startsWith("/", rest) ? uri.substring(rest) : "/" + uri.substring(rest));
    }

    /** Rejects what two readers could take for requests of different lengths, or for different hosts. */
    static void framed(HttpRequest message) {
        HttpHeaders headers = message.headers();
        if (message.protocolVersion().equals(HttpVersion.HTTP_1_1) && !headers.contains(HttpHeaderNames.HOST)) {
            throw new IllegalArgumentException("no Host");
        }
        boolean coded = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (message.protocolVersion().majorVersion() != 1 || (coded && !Headers.onlyChunked(message))) {
            throw new IllegalArgumentException("version or transfer coding not supported");
        }
        if (!message.method().equals(HttpMethod.POST) && (coded || HttpUtil.getContentLength(message, 0L) > 0)) {
            throw new IllegalArgumentException("body where none belongs");
        }
        if (!message.uri().chars().allMatch(each -> each > ' ' && each < 0x7f)) {
            throw new IllegalArgumentException("path can't be read");
        }
        for (String name : headers.names()) {
            boolean once = name.regionMatches(true, 0, "Req-", 0, 4)
                    || name.equalsIgnoreCase(KEY)
                    || name.equalsIgnoreCase("Host");
            if (once && headers.getAll(name).size() > 1) {
                throw new IllegalArgumentException("repeated " + name);
            }
        }
    }

    ExchangeRequest<UpstreamRequest> job(HttpRequest message, String path, RequestBody body) {
        if (header(message, "Req-Id").length() > LONGEST_ID) {
            throw new IllegalArgumentException("Req-Id too long");
        }
        ClassTable.Entry kind = classes.find(header(message, "Req-Kind"));
        if (kind == null) {
            throw new IllegalArgumentException("unknown Req-Kind");
        }
        int tenant = 0;
        if (!tenantNames.isEmpty()) {
            tenant = tenantNames.indexOf(header(message, "Req-Owner"));
            if (tenant < 0) {
                throw new IllegalArgumentException("unknown Req-Owner");
            }
        }
        String idempotencyKey = message.headers().get(KEY);
        Idempotency semantics = kind.rules().idempotency();
        HttpMethod method = semantics == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        if (!message.method().equals(method)
                || (semantics == Idempotency.IDEMPOTENCY_KEY)
                        != (idempotencyKey != null && !idempotencyKey.isEmpty())) {
            throw new IllegalArgumentException("method or Idempotency-Key does not fit the class");
        }
        // Nobody waits for longer than the class allows, whatever the header says.
        long wait = Math.min(number(message, "Req-Deadline-Ms"), kind.rules().deadlineNanos() / 1_000_000);
        long cost = message.headers().contains("Req-Cost") ? number(message, "Req-Cost") * 1000 : 0;
        return new ExchangeRequest<>(
                kind,
                tenant,
                key(path),
                wait,
                cost,
                "1".equals(message.headers().get("Req-Retry")),
                semantics != Idempotency.IDEMPOTENT,
                new UpstreamRequest(method, message.uri(), message.headers()),
                body);
    }

    private static String header(HttpRequest message, String name) {
        String value = message.headers().get(name);
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("missing " + name);
        }
        return value;
    }

    /** A whole number that is neither negative nor longer than any wait or work can be. */
    private static long number(HttpRequest message, String name) {
        String value = header(message, name);
        if (value.length() > 9 || !value.chars().allMatch(digit -> digit >= '0' && digit <= '9')) {
            throw new IllegalArgumentException("not a whole number: " + name);
        }
        return Long.parseLong(value);
    }

    /** What the request is about, as a number: the same for the same last part of the path, 0 for none. */
    private static long key(String path) {
        String last = path.substring(path.lastIndexOf('/') + 1);
        long key = 0;
        for (int i = 0; i < last.length(); i++) {
            key = key * 0x100000001b3L + last.charAt(i);
        }
        return key;
    }
}
