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

/** The responses that the sidecar generates itself. Their texts are part of its interface. */
final class LocalResponses {
    private static final int NANOS_DECIMALS = 9;
    private static final int MILLIS_DECIMALS = 3;

    private LocalResponses() {}

    /** Returns the status for a request that the HTTP decoder could not read. */
    static HttpResponseStatus decoderFailureStatus(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        if (cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_URI_TOO_LONG;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }

    /**
     * Returns 503 for a request that the client may safely retry: it did not run, or running it again has no further
     * effect.
     *
     * @param retryAfterNanos the delay before a retry, which the policy derives from the class and the settings, not
     *     from the header of a server; sent as {@code Retry-After} in seconds, rounded up to milliseconds; 0 omits it
     */
    static FullHttpResponse rejected(long retryAfterNanos) {
        FullHttpResponse response = plainText(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused");
        if (retryAfterNanos > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, formatSeconds(retryAfterNanos));
        }
        return response;
    }

    private static String formatSeconds(long nanos) {
        return BigDecimal.valueOf(nanos, NANOS_DECIMALS)
                .setScale(MILLIS_DECIMALS, RoundingMode.UP)
                .toPlainString();
    }

    /** Returns 502 for a request that failed and may have run on a server. */
    static FullHttpResponse failed() {
        return plainText(HttpResponseStatus.BAD_GATEWAY, "failed");
    }

    /** Returns the response to a readiness check. */
    static FullHttpResponse readiness(boolean acceptsClients) {
        return plainText(acceptsClients ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, "");
    }

    /** Returns a response of type {@code text/plain} without {@code Content-Length}. */
    static FullHttpResponse plainText(HttpResponseStatus status, String text) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        return response;
    }
}
