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
 * The response that a connection is receiving: its head, the body buffered so far, and how much has come. A
 * response is buffered until it is complete; a large or slow one is streamed instead, from some point on.
 */
final class ResponseAccumulator {
    /** Size in bytes up to which a response is buffered, so that a faulty one can still be retried elsewhere. */
    static final int MAX_BUFFERED_BYTES = 1 << 16;

    private static final int MAX_RESPONSE_BYTES = 1 << 25;
    private static final long DEFAULT_BUFFER_BYTES = 1024;
    /** Interim (1xx) responses that may precede the final one. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private HttpResponse head;
    private HttpHeaders endToEndHeaders;
    private ByteArrayOutputStream body;
    private long receivedBytes;
    private int interimResponses;
    private boolean streaming;
    private boolean complete;

    /** Starts to count the interim responses of a new request. */
    void requestStarted() {
        interimResponses = 0;
    }

    /**
     * Takes the head of an interim or the final response.
     *
     * @return false if the head makes the response unusable: a protocol switch, too many interim responses, a
     *     body without an end or above the limit, or headers that can't be forwarded
     */
    boolean acceptHead(HttpResponse response) {
        int code = response.status().code();
        if (code / 100 == 1) {
            return code != HttpResponseStatus.SWITCHING_PROTOCOLS.code() && ++interimResponses <= MAX_INTERIM_RESPONSES;
        }
        receivedBytes = 0;
        boolean bodyless =
                code == HttpResponseStatus.NO_CONTENT.code() || code == HttpResponseStatus.NOT_MODIFIED.code();
        if (!hasKnownEnd(response) && !bodyless) {
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
     * Whether it is clear where a response's body ends. Without a length it ends with the connection, which the
     * response has to announce: on a persistent connection that end would never come.
     */
    private static boolean hasKnownEnd(HttpResponse response) {
        if (response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return Headers.onlyChunked(response);
        }
        return HttpUtil.getContentLength(response, -1L) >= 0 || !HttpUtil.isKeepAlive(response);
    }

    /** Counts received bytes of the body; {@code last} if no more follow. */
    void received(int bytes, boolean last) {
        receivedBytes += bytes;
        complete = last;
    }

    /** Appends a copy of a part of the body to the buffer; only while the response is not streamed. */
    void buffer(ByteBuf content) {
        body.writeBytes(ByteBufUtil.getBytes(content));
    }

    /** Whether more has come than any response may have, or than one that can't be streamed may have. */
    boolean isTooLarge(boolean streamable) {
        return receivedBytes > MAX_RESPONSE_BYTES || (receivedBytes > MAX_BUFFERED_BYTES && !streamable);
    }

    /** Whether the response is longer than may be buffered, by what has come or what its head says. */
    boolean exceedsBuffer() {
        return Math.max(receivedBytes, contentLength()) > MAX_BUFFERED_BYTES;
    }

    /** Gives up a response whose last part has come but which can't be used. */
    void markIncomplete() {
        complete = false;
    }

    /** Switches to streaming; returns the response with the part of the body that was buffered until now. */
    UpstreamResponse startStreaming() {
        streaming = true;
        UpstreamResponse first = toResponse();
        body = null;
        return first;
    }

    /** The response with all of its buffered body. */
    UpstreamResponse toResponse() {
        return new UpstreamResponse(head.status(), endToEndHeaders, body.toByteArray());
    }

    /** The buffered body as UTF-8 text; null if the response is streamed. */
    String bodyText() {
        return body == null ? null : body.toString(StandardCharsets.UTF_8);
    }

    /** Forgets the response, so that another may follow; returns to buffering. */
    void clear() {
        head = null;
        endToEndHeaders = null;
        body = null;
        complete = false;
        streaming = false;
    }

    /** The final response's head; null before it has come. */
    HttpResponse head() {
        return head;
    }

    /** The length in bytes that the head gives; -1 if it gives none. */
    long contentLength() {
        return HttpUtil.getContentLength(head, -1L);
    }

    boolean hasBufferedBytes() {
        return body.size() > 0;
    }

    boolean isStreaming() {
        return streaming;
    }

    /** Whether the last part of the response has come. */
    boolean isComplete() {
        return complete;
    }
}
