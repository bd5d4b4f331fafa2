package topazvalve.sidecar.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import topazvalve.core.pool.Attempt;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;

/** Writes the requests of one connection to its channel; a body is written while the channel is writable. */
final class RequestWriter {
    private final Channel channel;
    private boolean writing;
    private long writtenBytes;

    /** Creates the writer of a connection; the pipeline of {@code channel} contains the HTTP encoder. */
    RequestWriter(Channel channel) {
        this.channel = channel;
    }

    /** Writes the request head of an attempt without flushing it. */
    void writeHead(Attempt<UpstreamRequest, UpstreamResponse> attempt) {
        channel.write(HttpHeads.requestHead(attempt));
    }

    /**
     * Writes the available part of the request body, until the channel is not writable. After the last chunk the
     * attempt is marked as handed over; the result of the last write then tells it whether it may have run.
     *
     * @return whether at least one chunk was written
     */
    boolean writeAvailable(Attempt<UpstreamRequest, UpstreamResponse> attempt) {
        // A write can trigger a writability change from inside the encoder, which is not reentrant.
        if (writing) {
            return false;
        }
        writing = true;
        boolean progress = writeChunks(attempt);
        writing = false;
        if (attempt.body().isFullyRead()) {
            finish(attempt);
        } else {
            channel.flush();
        }
        return progress;
    }

    private boolean writeChunks(Attempt<UpstreamRequest, UpstreamResponse> attempt) {
        boolean progress = false;
        while (channel.isWritable()) {
            ByteBuf chunk = attempt.body().nextChunk();
            if (chunk == null) {
                break;
            }
            progress = true;
            writtenBytes += chunk.readableBytes();
            channel.write(new DefaultHttpContent(chunk));
        }
        return progress;
    }

    /** Returns how many bytes of request bodies were written on the connection. */
    long writtenBytes() {
        return writtenBytes;
    }

    private void finish(Attempt<UpstreamRequest, UpstreamResponse> attempt) {
        attempt.handedOver();
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(done -> {
            if (done.isSuccess()) {
                attempt.requestWritten();
            } else {
                attempt.connectionLost();
            }
        });
    }
}
