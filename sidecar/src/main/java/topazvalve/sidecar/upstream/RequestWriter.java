package topazvalve.sidecar.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import topazvalve.core.pool.Attempt;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;

/** Writes the requests of one connection to its channel, each body as far as the channel is writable. */
final class RequestWriter {
    private final Channel channel;
    private boolean writing;

    /** Creates the writer of a connection; {@code channel} has the HTTP encoder in its pipeline. */
    RequestWriter(Channel channel) {
        this.channel = channel;
    }

    /** Writes the head of an attempt's request, without flushing it. */
    void writeHead(Attempt<UpstreamRequest, UpstreamResponse> attempt) {
        channel.write(HttpHeads.requestHead(attempt));
    }

    /**
     * Writes what has come of the request's body, until the channel is not writable. After the last chunk the
     * attempt is handed over, and learns from the write's result whether it may have run.
     *
     * @return whether at least one chunk was written
     */
    boolean writeAvailable(Attempt<UpstreamRequest, UpstreamResponse> attempt) {
        // A write can report a change of writability from inside the encoder, which must not be re-entered.
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
            channel.write(new DefaultHttpContent(chunk));
        }
        return progress;
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
