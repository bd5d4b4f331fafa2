package topazvalve.sidecar.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import topazvalve.sidecar.http.Headers;
import topazvalve.sidecar.http.UpstreamResponse;

/**
 * The response that a connection is receiving: its head, the buffered part of the body, and the number of received
 * bytes. A response is buffered until it is complete, unless it is large or slow: then it switches to streaming.
 */
final class ResponseAccumulator {
    /** Size up to which a response is buffered, so that a failed one can still be retried on another server. */
    static final int MAX_BUFFERED_BYTES = 1 << 16;

    private static final int MAX_RESPONSE_BYTES = 1 << 25;
    private static final long DEFAULT_BUFFER_BYTES = 1024;
    /** Maximum number of interim (1xx) responses before the final one. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private HttpResponse head;
    private HttpHeaders endToEndHeaders;
    private ByteArrayOutputStream body;
    private long receivedBytes;
    private int interimResponses;
    private boolean streaming;
    private boolean complete;

    /** Resets the count of interim responses for a new request. */
    void requestStarted() {
        interimResponses = 0;
    }

    /**
     * Accepts the head of an interim response or of the final response.
     *
     * @return false if the response is unusable: a protocol switch, too many interim responses, a body that is too
     *     large or whose end is unknown, or headers that can't be forwarded
     */
    boolean acceptHead(HttpResponse response) {
        int code = response.status().code();
        if (code / 100 == 1) {
            return code != HttpResponseStatus.SWITCHING_PROTOCOLS.code() && ++interimResponses <= MAX_INTERIM_RESPONSES;
        }
        receivedBytes = 0;
        boolean hasNoBody =
                code == HttpResponseStatus.NO_CONTENT.code() || code == HttpResponseStatus.NOT_MODIFIED.code();
        if (!hasKnownEnd(response) && !hasNoBody) {
            return false;
        }
        if (HttpUtil.getContentLength(response, 0L) > MAX_RESPONSE_BYTES) {
            return false;
        }
        try {
            endToEndHeaders = new DefaultHttpHeaders();
            Headers.copyEndToEnd(response.headers(), endToEndHeaders);
        } catch (IllegalArgumentException e) {
            return false;
        }
        head = response;
        body = new ByteArrayOutputStream(
                (int) Math.min(MAX_BUFFERED_BYTES, HttpUtil.getContentLength(response, DEFAULT_BUFFER_BYTES)));
        return true;
    }

    /**
     * Returns whether the end of the response body is defined. Without a length it is the end of the connection, which
     * the response has to announce: a persistent connection would not end.
     */
    private static boolean hasKnownEnd(HttpResponse response) {
        if (response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return Headers.isChunkedOnly(response);
        }
        return HttpUtil.getContentLength(response, -1L) >= 0 || !HttpUtil.isKeepAlive(response);
    }

    /** Records received bytes of the body; {@code last} if no more follow. */
    void received(int bytes, boolean last) {
        receivedBytes += bytes;
        complete = last;
    }

    /** Appends a copy of a part of the body to the buffer; allowed only while the response is not streamed. */
    void buffer(ByteBuf content) {
        body.writeBytes(ByteBufUtil.getBytes(content));
    }

    /** Returns whether the received bytes exceed the limit of any response, or the buffer if it isn't streamable. */
    boolean isTooLarge(boolean streamable) {
        return receivedBytes > MAX_RESPONSE_BYTES || (receivedBytes > MAX_BUFFERED_BYTES && !streamable);
    }

    /** Returns whether the received bytes, or the length in the head, exceed the buffer. */
    boolean exceedsBuffer() {
        return Math.max(receivedBytes, contentLength()) > MAX_BUFFERED_BYTES;
    }

    /** Marks a completely received response as incomplete, since it can't be used. */
    void markIncomplete() {
        complete = false;
    }

    /** Switches to streaming; returns the response with the part of the body buffered so far. */
    UpstreamResponse startStreaming() {
        streaming = true;
        UpstreamResponse first = toResponse();
        body = null;
        return first;
    }

    /** Returns the response with its buffered body. */
    UpstreamResponse toResponse() {
        return new UpstreamResponse(head.status(), endToEndHeaders, body.toByteArray());
    }

    /** Returns the buffered body as UTF-8 text; null if the response is streamed. */
    String bodyText() {
        return body == null ? null : body.toString(StandardCharsets.UTF_8);
    }

    /** Clears the response for the next one and switches back to buffering. */
    void clear() {
        head = null;
        endToEndHeaders = null;
        body = null;
        complete = false;
        streaming = false;
    }

    /** Returns the head of the final response; null until it is received. */
    HttpResponse head() {
        return head;
    }

    /** Returns the length in bytes according to the head; -1 if unknown. */
    long contentLength() {
        return HttpUtil.getContentLength(head, -1L);
    }

    boolean hasBufferedBytes() {
        return body.size() > 0;
    }

    boolean isStreaming() {
        return streaming;
    }

    /** Returns whether the last part of the response has been received. */
    boolean isComplete() {
        return complete;
    }
}
