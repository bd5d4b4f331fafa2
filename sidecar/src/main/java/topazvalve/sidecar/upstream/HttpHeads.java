package topazvalve.sidecar.upstream;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import topazvalve.core.pool.Attempt;
import topazvalve.policy.Outcome;
import topazvalve.sidecar.http.Headers;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;

/** Converts between attempts and HTTP heads: the request head to send, and the outcome that a response head means. */
final class HttpHeads {
    /** Set to 1 by a server that has rejected a request without running it. */
    private static final String DECLINED_HEADER = "Srv-Declined";

    private static final long NANOS_PER_MILLI = 1_000_000;

    private HttpHeads() {}

    /**
     * Creates the head to send: the end-to-end headers of the client, what is left of the attempt's timeout in
     * milliseconds (at least 1) and the framing of the body.
     */
    static HttpRequest requestHead(Attempt<UpstreamRequest, UpstreamResponse> attempt) {
        HttpRequest request = new DefaultHttpRequest(
                HttpVersion.HTTP_1_1,
                attempt.message().method(),
                attempt.message().uri());
        Headers.copyEndToEnd(attempt.message().headers(), request.headers());
        request.headers()
                .set(Headers.DEADLINE_MILLIS, Math.max(1, attempt.remainingNanos() / NANOS_PER_MILLI))
                .remove(HttpHeaderNames.CONTENT_LENGTH);
        long length = attempt.body().length();
        if (length < 0) {
            HttpUtil.setTransferEncodingChunked(request, true);
        } else if (length > 0 || !attempt.message().method().equals(HttpMethod.GET)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        return request;
    }

    /**
     * Returns the outcome that a response status means for the server. Most client errors (RFC 9110, section 15.5) are
     * caused by the client: the server is healthy, another would answer the same, and the client gets the response.
     */
    static Outcome outcome(HttpResponse response) {
        int code = response.status().code();
        return switch (code) {
            case 200 -> Outcome.OK;
            case 503, 504 -> "1".equals(response.headers().get(DECLINED_HEADER)) ? Outcome.REJECTED : Outcome.ERROR;
            // Client errors that depend on the server's state: timeout, misdirected, too early, too many requests.
            case 408, 421, 425, 429 -> Outcome.ERROR;
            default -> code / 100 == 4 ? Outcome.OK : Outcome.ERROR;
        };
    }
}
