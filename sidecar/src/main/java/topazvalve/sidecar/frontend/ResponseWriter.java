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
 * Writes the responses of one connection, either buffered, when the response is complete, or streamed. It decides from
 * the request and the response whether the connection is kept alive.
 */
final class ResponseWriter {
    private final ClientConnection connection;
    private final Channel channel;
    private final ByteBudget budget;
    private boolean keepAlive;
    /** HTTP/1.0 has no chunked encoding: a body of unknown length ends with the connection. */
    private boolean http10;
    /** How many bytes of bodies were written to the socket. */
    private long sentBytes;
    /** The response that is being streamed; null if there is none. */
    private StreamedResponse streamed;

    ResponseWriter(ClientConnection connection, Channel channel, ByteBudget budget) {
        this.connection = connection;
        this.channel = channel;
        this.budget = budget;
    }

    /** Records the properties of a new request that its response depends on. */
    void requestStarted(HttpRequest head) {
        keepAlive = HttpUtil.isKeepAlive(head);
        http10 = head.protocolVersion().minorVersion() == 0;
    }

    /** Returns whether the connection is kept alive after the current response. */
    boolean keepsAlive() {
        return keepAlive;
    }

    /** Sends {@code 100 Continue} to a client that waits for it before it sends the body. */
    void writeContinue() {
        channel.writeAndFlush(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }

    /** Converts the complete response of a server to the response to the client. */
    static FullHttpResponse fromUpstream(UpstreamResponse upstream) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, upstream.status(), Unpooled.wrappedBuffer(upstream.body()));
        response.headers().set(upstream.headers());
        return response;
    }

    /**
     * Writes a complete response.
     *
     * @param mayKeepAlive whether the connection accepts a further request; if not, the response announces its end
     */
    ChannelFuture writeBuffered(FullHttpResponse response, boolean mayKeepAlive) {
        keepAlive = keepAlive && mayKeepAlive;
        HttpUtil.setContentLength(response, response.content().readableBytes());
        sentBytes += response.content().readableBytes();
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return channel.writeAndFlush(response);
    }

    /** Writes a complete response that announces the end of the connection. */
    ChannelFuture writeLast(FullHttpResponse response) {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        HttpUtil.setContentLength(response, response.content().readableBytes());
        return channel.writeAndFlush(response);
    }

    /**
     * Writes the head and the first bytes of a streamed response.
     *
     * @param contentLength the length of the body in bytes; -1 if unknown
     * @param source controls the flow of the rest of the body
     * @param mayKeepAlive whether the connection accepts a further request
     */
    void startStreaming(UpstreamResponse upstream, long contentLength, FlowControl source, boolean mayKeepAlive) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, upstream.status());
        head.headers().set(upstream.headers()).remove(HttpHeaderNames.CONTENT_LENGTH);
        if (contentLength >= 0) {
            HttpUtil.setContentLength(head, contentLength);
        } else if (http10) {
            keepAlive = false;
        } else {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        keepAlive = keepAlive && mayKeepAlive;
        if (!keepAlive) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.write(head);
        streamed = new StreamedResponse(channel, budget, source, this::partSent);
        streamed.write(Unpooled.wrappedBuffer(upstream.body()));
    }

    private void partSent(int bytes) {
        sentBytes += bytes;
        connection.recordActivity();
    }

    /** Returns how many bytes of the bodies of all responses were written to the socket, those in progress included. */
    long sentBytes() {
        return sentBytes;
    }

    /** Writes a part of the body of a streamed response and takes ownership of the buffer. */
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
     * Closes the connection in the middle of a streamed response. The client detects the truncation by missing bytes or
     * by the missing last chunk; an HTTP/1.0 client can detect it only by a reset.
     */
    void abortStreaming() {
        endStreaming();
        if (http10) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    /** Stops writing the streamed response, if there is one. */
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

    /** Returns whether all received bytes of the streamed response are written to the client's socket. */
    boolean isStreamFullySent() {
        return streamed != null && streamed.isFullySent();
    }
}
