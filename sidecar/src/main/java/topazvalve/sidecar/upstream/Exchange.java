package topazvalve.sidecar.upstream;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import topazvalve.decisions.Balancer.Outcome;
import topazvalve.sidecar.http.Headers;

/** An attempt in HTTP's terms: the head that is sent to an upstream, and what an answer's head says. */
final class Exchange {
    private Exchange() { }

    static HttpRequest head(Attempt attempt) {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, attempt.message.method(),
                attempt.message.uri());
        Headers.copyEndToEnd(attempt.message.headers(), request.headers());
        request.headers().set("Req-Deadline-Ms", Math.max(1, attempt.wait / 1_000_000))
                .remove(HttpHeaderNames.CONTENT_LENGTH);
        long length = attempt.body.length();
        if (length < 0) {
            HttpUtil.setTransferEncodingChunked(request, true);
        } else if (length > 0 || !attempt.message.method().equals(HttpMethod.GET)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        return request;
    }

    static Outcome outcome(HttpResponse response) {
        return switch (response.status().code()) {
            case 200 -> Outcome.OK;
            case 503, 504 -> "1".equals(response.headers().get("Srv-Declined")) ? Outcome.REJECTED
                    : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }
}
