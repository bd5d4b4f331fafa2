package topazvalve.hollowfleet.source;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;

/**
 * A client's connection to a source, which carries one call: a fetch of the full snapshot, or a watch. A watch has no
 * queue of pending changes; it keeps the revision that was sent last. If its connection was not writable for a while,
 * it is then sent all changes since that revision in one line.
 */
final class SourceConnection extends SimpleChannelInboundHandler<Object> {
    private static final String PATH = "/discovery/hosts";
    private static final List<String> NO_REVISION = List.of("0");

    private final SourceStandIn source;
    private final Channel channel;
    private final int zone;
    private int heartbeatSlot;
    private boolean requestReceived;
    private boolean watchRequested;
    private boolean watchOpen;
    private long fromRevision;
    private long sentRevision;
    private long receivedAtNanos;

    SourceConnection(SourceStandIn source, Channel channel, int zone) {
        this.source = source;
        this.channel = channel;
        this.zone = zone;
    }

    int zone() {
        return zone;
    }

    boolean isActive() {
        return channel.isActive();
    }

    long receivedAtNanos() {
        return receivedAtNanos;
    }

    void close() {
        channel.close();
    }

    /** Closes the connection with a TCP reset. */
    void reset() {
        ((SocketChannelConfig) channel.config()).setSoLinger(0);
        channel.close();
    }

    /** Applies the current state of its zone's link to the connection. */
    void linkChanged() {
        channel.config().setAutoRead(!source.link(zone).isBlocked());
        catchUpIfWritable();
    }

    private boolean isWritable() {
        return !source.link(zone).isBlocked() && channel.isWritable();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Object message) {
        if (!(message instanceof HttpRequest request) || requestReceived) {
            return;
        }
        requestReceived = true;
        receivedAtNanos = source.nowNanos();
        source.callReceived(receivedAtNanos);
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        watchRequested = uri.parameters().containsKey("watch");
        fromRevision = parseFromRevision(uri);
        long respondAtNanos = responseTimeNanos(uri.path());
        if (respondAtNanos == CallQueue.REJECTED) {
            reject();
        } else if (source.hasUnboundedCapacity()) {
            respondOrQueue();
        } else {
            source.schedule(this::respond, respondAtNanos - receivedAtNanos);
        }
    }

    private static long parseFromRevision(QueryStringDecoder uri) {
        try {
            return Long.parseLong(
                    uri.parameters().getOrDefault("from", NO_REVISION).get(0));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private long responseTimeNanos(String path) {
        if (!path.equals(PATH) || source.link(zone).kind() == SimulatedLink.Kind.REFUSING) {
            return CallQueue.REJECTED;
        }
        int endpoints = source.catalog().endpointsInResponse(fromRevision, watchRequested);
        return source.enqueueCall(receivedAtNanos, endpoints);
    }

    private void respondOrQueue() {
        if (watchRequested && source.catalog().canResume(fromRevision)) {
            respond();
        } else {
            source.transfers().add(this);
        }
    }

    void reject() {
        source.metrics().callRejected();
        write(HttpMessages.REJECTED).addListener(sent -> channel.close());
    }

    /** Sends the full snapshot or the first line of a watch; the future completes when it has been written. */
    ChannelFuture respond() {
        return watchRequested ? openWatch() : sendSnapshot();
    }

    private ChannelFuture sendSnapshot() {
        return writeAndRelease(HttpMessages.response(source.catalog().fullSnapshot()));
    }

    private ChannelFuture openWatch() {
        EndpointCatalog catalog = source.catalog();
        watchOpen = true;
        sentRevision = catalog.revision();
        heartbeatSlot = source.watchOpened(this);
        write(HttpMessages.WATCH_HEAD);
        return writeChunk(catalog.changesSince(fromRevision));
    }

    /**
     * Sends new changes on a watch, if its connection is writable.
     *
     * @param changes a chunk with the changes between the two revisions, for watches that are at the first one
     */
    void sendChanges(long previousRevision, long revision, ByteBuf changes) {
        if (!isWritable()) {
            return;
        }
        if (sentRevision == previousRevision) {
            sentRevision = revision;
            write(changes);
        } else {
            catchUp();
        }
    }

    /** Sends a heartbeat if the tick falls into this watch's slot. */
    void sendHeartbeat(int heartbeatTick, int heartbeatSlots) {
        if ((heartbeatTick + heartbeatSlot) % heartbeatSlots == 0 && isWritable()) {
            catchUp();
            write(HttpMessages.HEARTBEAT);
        }
    }

    private void catchUpIfWritable() {
        if (watchOpen && isWritable()) {
            catchUp();
        }
    }

    private void catchUp() {
        long revision = source.catalog().revision();
        if (sentRevision < revision) {
            long previousRevision = sentRevision;
            sentRevision = revision;
            writeChunk(source.catalog().changesSince(previousRevision));
        }
    }

    private ChannelFuture writeChunk(ByteBuf line) {
        return writeAndRelease(HttpMessages.chunk(line));
    }

    private ChannelFuture writeAndRelease(ByteBuf bytes) {
        ChannelFuture written = write(bytes);
        bytes.release();
        return written;
    }

    /** Writes a duplicate of the given bytes, with a delay if the link is slow. */
    ChannelFuture write(ByteBuf bytes) {
        source.metrics().bytesSent(bytes.readableBytes());
        ByteBuf duplicate = bytes.retainedDuplicate();
        SimulatedLink link = source.link(zone);
        if (link.kind() != SimulatedLink.Kind.SLOW) {
            return channel.writeAndFlush(duplicate);
        }
        ChannelPromise promise = channel.newPromise();
        source.schedule(() -> channel.writeAndFlush(duplicate, promise), link.delayNanos());
        return promise;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        catchUpIfWritable();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
