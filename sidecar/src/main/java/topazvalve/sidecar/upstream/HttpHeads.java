package topazvalve.sidecar.upstream;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import topazvalve.core.pool.Attempt;
import topazvalve.policy.LoadBalancer.Outcome;
import topazvalve.sidecar.http.Headers;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;

/** An attempt in HTTP's terms: the head that is sent to an upstream, and what an answer's head says. */
final class HttpHeads {
    private HttpHeads() {}

    static HttpRequest head(Attempt<UpstreamRequest, UpstreamResponse> attempt) {
        HttpRequest request = new DefaultHttpRequest(
                HttpVersion.HTTP_1_1,
                attempt.message().method(),
                attempt.message().uri());
        Headers.copyEndToEnd(attempt.message().headers(), request.headers());
        request.headers()
                .set("Req-Deadline-Ms", Math.max(1, attempt.timeoutNanos() / 1_000_000))
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
     * What an answer's status says of its server. Of the client errors (RFC 9110 15.5) most tell what the
     * caller did wrong: the server is well, another would say the same, and the caller is to see it.
     */
    static Outcome outcome(HttpResponse response) {
        int code = response.status().code();
        return switch (code) {
            case 200 -> Outcome.OK;
            case 503, 504 -> "1".equals(response.headers().get("Srv-Declined")) ? Outcome.REJECTED : Outcome.ERROR;
            // Of the server's own state: waited too long, not the one meant, too early, too many requests.
            case 408, 421, 425, 429 -> Outcome.ERROR;
            default -> code / 100 == 4 ? Outcome.OK : Outcome.ERROR;
        };
    }
}
