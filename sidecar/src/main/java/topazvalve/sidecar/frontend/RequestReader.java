package topazvalve.sidecar.frontend;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import topazvalve.core.exchange.ExchangeRequest;
import topazvalve.core.requestclass.RequestClassRegistry;
import topazvalve.core.stream.RequestBody;
import topazvalve.policy.Idempotency;
import topazvalve.sidecar.http.Headers;
import topazvalve.sidecar.http.UpstreamRequest;

/** Validates the head of a request and converts it to an {@link ExchangeRequest}. */
final class RequestReader {
    /** Larger request bodies are answered with 413. */
    static final int MAX_BODY_BYTES = 1 << 25;

    private static final int MAX_REQUEST_ID_CHARS = 128;
    private static final int MAX_NUMBER_DIGITS = 9;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long HASH_MULTIPLIER = 0x100000001b3L;
    private static final int ASCII_DELETE = 0x7f;

    private static final String API_PATH = "/api";
    private static final String READINESS_PATH = "/up";
    private static final String SCHEME = "http://";

    private static final String REQUEST_HEADER_PREFIX = "Req-";
    private static final String REQUEST_CLASS = "Req-Kind";
    private static final String TENANT = "Req-Owner";
    private static final String COST_HINT_MICROS = "Req-Cost";
    private static final String CLIENT_RETRY = "Req-Retry";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private final RequestClassRegistry classes;
    private final List<String> tenantNames;

    /**
     * Creates a reader.
     *
     * @param classes the current request classes
     * @param tenantNames the known tenants in the order of their numbers; empty if requests name no tenant
     */
    RequestReader(RequestClassRegistry classes, List<String> tenantNames) {
        this.classes = classes;
        this.tenantNames = tenantNames;
    }

    /** Returns the id that the client gave the request; null if there is none. */
    static String requestId(HttpRequest head) {
        return head.headers().get(Headers.REQUEST_ID);
    }

    /**
     * Validates a head and reads the request from it. A target in absolute form is rewritten to origin form. A
     * readiness check is validated like any request, except for the {@code Req-} headers.
     *
     * @param body receives the body of the request
     * @return the request to forward; null for a readiness check, which the sidecar answers itself
     * @throws InvalidRequestException if the request must not be forwarded; its body need not be read then
     */
    ExchangeRequest<UpstreamRequest> read(HttpRequest head, RequestBody body) {
        requireUnambiguous(head);
        toOriginForm(head);
        String path = withoutQuery(head.uri());
        ExchangeRequest<UpstreamRequest> request = null;
        if (path.equals(API_PATH) || path.startsWith(API_PATH + "/")) {
            request = readApiRequest(head, path, body);
        } else if (!path.equals(READINESS_PATH)) {
            throw new InvalidRequestException(HttpResponseStatus.NOT_FOUND, "no such path");
        }
        if (HttpUtil.getContentLength(head, 0L) > MAX_BODY_BYTES) {
            throw bodyTooLarge();
        }
        return request;
    }

    /** Returns the exception for a body of more than {@link #MAX_BODY_BYTES}. */
    static InvalidRequestException bodyTooLarge() {
        return new InvalidRequestException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
    }

    private static String withoutQuery(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /** Rejects requests whose length or host another HTTP implementation could interpret differently. */
    private static void requireUnambiguous(HttpRequest head) {
        HttpHeaders headers = head.headers();
        if (head.protocolVersion().equals(HttpVersion.HTTP_1_1) && !headers.contains(HttpHeaderNames.HOST)) {
            throw InvalidRequestException.badRequest("no Host");
        }
        boolean hasTransferCoding = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (head.protocolVersion().majorVersion() != 1 || (hasTransferCoding && !Headers.isChunkedOnly(head))) {
            throw InvalidRequestException.badRequest("version or transfer coding not supported");
        }
        boolean mayHaveBody = head.method().equals(HttpMethod.POST);
        if (!mayHaveBody && (hasTransferCoding || HttpUtil.getContentLength(head, 0L) > 0)) {
            throw InvalidRequestException.badRequest("body where none belongs");
        }
        if (!head.uri().chars().allMatch(character -> character > ' ' && character < ASCII_DELETE)) {
            throw InvalidRequestException.badRequest("path can't be read");
        }
        for (String name : headers.names()) {
            if (mustNotRepeat(name) && headers.getAll(name).size() > 1) {
                throw InvalidRequestException.badRequest("repeated " + name);
            }
        }
    }

    private static boolean mustNotRepeat(String headerName) {
        return headerName.regionMatches(true, 0, REQUEST_HEADER_PREFIX, 0, REQUEST_HEADER_PREFIX.length())
                || headerName.equalsIgnoreCase(IDEMPOTENCY_KEY)
                || headerName.equalsIgnoreCase("Host");
    }

    /** Rewrites a target in absolute form; its host replaces the Host header (RFC 9112 section 3.2.2). */
    private static void toOriginForm(HttpRequest head) {
        String uri = head.uri();
        if (!uri.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return;
        }
        int hostEnd = SCHEME.length();
        while (hostEnd < uri.length() && "/?".indexOf(uri.charAt(hostEnd)) < 0) {
            hostEnd++;
        }
        if (hostEnd == SCHEME.length()) {
            throw InvalidRequestException.badRequest("no host in the target");
        }
        head.headers().set(HttpHeaderNames.HOST, uri.substring(SCHEME.length(), hostEnd));
        head.setUri(uri.startsWith("/", hostEnd) ? uri.substring(hostEnd) : "/" + uri.substring(hostEnd));
    }

    private ExchangeRequest<UpstreamRequest> readApiRequest(HttpRequest head, String path, RequestBody body) {
        if (requiredHeader(head, Headers.REQUEST_ID).length() > MAX_REQUEST_ID_CHARS) {
            throw InvalidRequestException.badRequest("Req-Id too long");
        }
        RequestClassRegistry.Entry requestClass = classes.find(requiredHeader(head, REQUEST_CLASS));
        if (requestClass == null) {
            throw InvalidRequestException.badRequest("unknown Req-Kind");
        }
        int tenant = tenant(head);
        Idempotency idempotency = requestClass.rules().idempotency();
        HttpMethod method = idempotency == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        if (!head.method().equals(method) || (idempotency == Idempotency.IDEMPOTENCY_KEY) != hasIdempotencyKey(head)) {
            throw InvalidRequestException.badRequest("method or Idempotency-Key does not fit the class");
        }
        return new ExchangeRequest<>(
                requestClass,
                tenant,
                resourceKey(path),
                timeoutMillis(head, requestClass),
                costHintNanos(head),
                "1".equals(head.headers().get(CLIENT_RETRY)),
                idempotency != Idempotency.IDEMPOTENT,
                new UpstreamRequest(method, head.uri(), head.headers()),
                body);
    }

    private int tenant(HttpRequest head) {
        if (tenantNames.isEmpty()) {
            return 0;
        }
        int tenant = tenantNames.indexOf(requiredHeader(head, TENANT));
        if (tenant < 0) {
            throw InvalidRequestException.badRequest("unknown Req-Owner");
        }
        return tenant;
    }

    private static boolean hasIdempotencyKey(HttpRequest head) {
        String key = head.headers().get(IDEMPOTENCY_KEY);
        return key != null && !key.isEmpty();
    }

    /** Returns the timeout that the client asks for, limited by the deadline of the request class. */
    private static long timeoutMillis(HttpRequest head, RequestClassRegistry.Entry requestClass) {
        return Math.min(
                wholeNumber(head, Headers.DEADLINE_MILLIS), requestClass.rules().deadlineNanos() / NANOS_PER_MILLI);
    }

    private static long costHintNanos(HttpRequest head) {
        return head.headers().contains(COST_HINT_MICROS) ? wholeNumber(head, COST_HINT_MICROS) * NANOS_PER_MICRO : 0;
    }

    private static String requiredHeader(HttpRequest head, String name) {
        String value = head.headers().get(name);
        if (value == null || value.isEmpty()) {
            throw InvalidRequestException.badRequest("missing " + name);
        }
        return value;
    }

    /** Reads a required header of at most {@link #MAX_NUMBER_DIGITS} decimal digits. */
    private static long wholeNumber(HttpRequest head, String name) {
        String value = requiredHeader(head, name);
        if (value.length() > MAX_NUMBER_DIGITS || !value.chars().allMatch(digit -> digit >= '0' && digit <= '9')) {
            throw InvalidRequestException.badRequest("not a whole number: " + name);
        }
        return Long.parseLong(value);
    }

    /** Hashes the last path segment, so that requests for the same resource have the same key; 0 if it is empty. */
    private static long resourceKey(String path) {
        String segment = path.substring(path.lastIndexOf('/') + 1);
        long key = 0;
        for (int i = 0; i < segment.length(); i++) {
            key = key * HASH_MULTIPLIER + segment.charAt(i);
        }
        return key;
    }
}
