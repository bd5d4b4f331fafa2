package topazvalve.sidecar.frontend;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.charset.StandardCharsets;
import topazvalve.sidecar.http.UpstreamResponse;

/** The answers that the sidecar words itself. */
final class LocalResponses {
    private LocalResponses() {}

    static HttpResponseStatus status(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return cause instanceof TooLongHttpLineException
                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                : HttpResponseStatus.BAD_REQUEST;
    }

    /** An order server's answer. */
    static FullHttpResponse served(UpstreamResponse answer) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, answer.status(), Unpooled.wrappedBuffer(answer.body()));
        response.headers().set(answer.headers());
        return response;
    }

    /** Trying again is harmless, after so many nanoseconds; 0 says nothing of that. */
    static FullHttpResponse refused(long wait) {
        FullHttpResponse response = plain(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused");
        if (wait > 0) {
            response.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            BigDecimal.valueOf(wait, 9)
                                    .setScale(3, RoundingMode.UP)
                                    .toPlainString());
        }
        return response;
    }

    static FullHttpResponse failed() {
        return plain(HttpResponseStatus.BAD_GATEWAY, "failed");
    }

    static FullHttpResponse plain(HttpResponseStatus status, String text) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        return response;
    }
}
