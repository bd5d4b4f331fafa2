package topazvalve.sidecar.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.stream.FlowControl;
import topazvalve.sidecar.http.UpstreamResponse;

/**
 * Writes the responses of one connection: buffered ones, which are complete when they are written, and streamed
 * ones. It decides from the request and the response whether the connection persists.
 */
final class ResponseWriter {
    private final ClientConnection connection;
    private final Channel channel;
    private final ByteBudget budget;
    private boolean keepAlive;
    /** HTTP/1.0 knows no chunks: there the end of the connection ends a body of unknown length. */
    private boolean http10;
    /** The response that is being streamed; null if there is none. */
    private StreamedResponse streamed;

    ResponseWriter(ClientConnection connection, Channel channel, ByteBudget budget) {
        this.connection = connection;
        this.channel = channel;
        this.budget = budget;
    }

    /** Takes over from a new request's head what its response depends on. */
    void requestStarted(HttpRequest head) {
        keepAlive = HttpUtil.isKeepAlive(head);
        http10 = head.protocolVersion().minorVersion() == 0;
    }

    /** Returns whether the connection persists after the current response. */
    boolean keepsAlive() {
        return keepAlive;
    }

    /** Tells a client that waits before it sends a body to send it. */
    void writeContinue() {
        channel.writeAndFlush(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }

    /** Returns a server's complete response in the form in which the client gets it. */
    static FullHttpResponse fromUpstream(UpstreamResponse upstream) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, upstream.status(), Unpooled.wrappedBuffer(upstream.body()));
        response.headers().set(upstream.headers());
        return response;
    }

    /**
     * Writes a complete response.
     *
     * @param mayPersist whether the connection accepts a further request; if not, the response says so
     */
    ChannelFuture writeBuffered(FullHttpResponse response, boolean mayPersist) {
        keepAlive = keepAlive && mayPersist;
        HttpUtil.setContentLength(response, response.content().readableBytes());
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return channel.writeAndFlush(response);
    }

    /** Writes a complete response which announces that the connection ends behind it. */
    ChannelFuture writeLast(FullHttpResponse response) {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        HttpUtil.setContentLength(response, response.content().readableBytes());
        return channel.writeAndFlush(response);
    }

    /**
     * Writes the head and the first bytes of a streamed response.
     *
     * @param contentLength the length of the body in bytes; -1 if unknown
     * @param source where the rest of the body comes from
     * @param mayPersist whether the connection accepts a further request
     */
    void startStreaming(UpstreamResponse upstream, long contentLength, FlowControl source, boolean mayPersist) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, upstream.status());
        head.headers().set(upstream.headers()).remove(HttpHeaderNames.CONTENT_LENGTH);
        if (contentLength >= 0) {
            HttpUtil.setContentLength(head, contentLength);
        } else if (http10) {
            keepAlive = false;
        } else {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        keepAlive = keepAlive && mayPersist;
        if (!keepAlive) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.write(head);
        streamed = new StreamedResponse(channel, budget, source, connection::recordActivity);
        streamed.write(Unpooled.wrappedBuffer(upstream.body()));
    }

    /** Writes a part of a streamed response's body and takes ownership of the buffer. */
    void write(ByteBuf bytes) {
        if (streamed == null) {
            bytes.release();
        } else {
            streamed.write(bytes);
        }
    }

    /** Writes the end of a streamed response. */
    ChannelFuture completeStreaming() {
        endStreaming();
        return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /**
     * Closes the connection in the middle of a streamed response. The client notices by the missing bytes or the
     * missing last chunk, an HTTP/1.0 client only by a reset.
     */
    void abortStreaming() {
        endStreaming();
        if (http10) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    /** Writes no more of a streamed response, if there is one. */
    void endStreaming() {
        if (streamed != null) {
            streamed.end();
            streamed = null;
        }
    }

    /** Returns whether a response is being streamed. */
    boolean isStreaming() {
        return streamed != null;
    }

    /** Returns whether the part of the streamed response received so far is written to the client's socket. */
    boolean isStreamFullySent() {
        return streamed != null && streamed.isFullySent();
    }
}
