package topazvalve.capacity.measure;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Many watches opened by this process; records the bytes they receive and when the last of them receives a change. */
final class WatchClients implements AutoCloseable {
    /** Number of connections opened concurrently. */
    private static final int OPEN_BATCH_SIZE = 128;

    private static final int OPEN_TIMEOUT_SECONDS = 20;
    private static final int CHANGE_TIMEOUT_SECONDS = 30;

    private final EventLoopGroup group;
    private final int port;
    private final Queue<Channel> channels = new ConcurrentLinkedQueue<>();
    private final AtomicLong receivedBytes = new AtomicLong();
    private volatile CountDownLatch pendingChanges = new CountDownLatch(0);
    private volatile long lastChangeAtNanos;

    WatchClients(EventLoopGroup group, int port) {
        this.group = group;
        this.port = port;
    }

    /**
     * Opens additional watches and waits until all of them are answered.
     *
     * @param fromRevision a revision that the server knows
     * @throws MeasurementException if a watch is not answered in time
     */
    void open(int count, long fromRevision) throws IOException, InterruptedException {
        for (int opened = 0; opened < count; opened += OPEN_BATCH_SIZE) {
            openBatch(Math.min(OPEN_BATCH_SIZE, count - opened), fromRevision);
        }
    }

    private void openBatch(int count, long fromRevision) throws IOException, InterruptedException {
        CountDownLatch answered = new CountDownLatch(count);
        for (int i = 0; i < count; i++) {
            openOne(fromRevision, answered);
        }
        if (!answered.await(OPEN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new MeasurementException(answered.getCount() + " of " + count + " watches were not answered within "
                    + OPEN_TIMEOUT_SECONDS + " s");
        }
    }

    private void openOne(long fromRevision, CountDownLatch answered) {
        ChannelFuture connected = DiscoveryCalls.connect(group, port, channel -> {
            channel.pipeline().addLast(new ByteCounter(), new HttpClientCodec(), new LineReader(answered));
            channels.add(channel);
        });
        connected.addListener((ChannelFuture done) -> {
            if (done.isSuccess()) {
                DiscoveryCalls.requestWatch(done.channel(), fromRevision);
            }
        });
    }

    /** Returns the number of open watches. */
    int count() {
        return channels.size();
    }

    /** Returns the bytes that all watches have received. */
    long receivedBytes() {
        return receivedBytes.get();
    }

    /** Makes {@link #awaitChange} wait until each open watch has received one more non-empty line. */
    void expectChange() {
        pendingChanges = new CountDownLatch(channels.size());
    }

    /**
     * Waits for the expected change on every watch.
     *
     * @return when the last watch received it, by the monotonic clock
     * @throws MeasurementException if a watch does not receive it in time
     */
    long awaitChange() throws IOException, InterruptedException {
        if (!pendingChanges.await(CHANGE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new MeasurementException(pendingChanges.getCount() + " watches did not receive the change within "
                    + CHANGE_TIMEOUT_SECONDS + " s");
        }
        return lastChangeAtNanos;
    }

    @Override
    public void close() {
        channels.forEach(Channel::close);
        channels.clear();
    }

    private final class ByteCounter extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            receivedBytes.addAndGet(((ByteBuf) message).readableBytes());
            context.fireChannelRead(message);
        }
    }

    private final class LineReader extends ChannelInboundHandlerAdapter {
        private final CountDownLatch answered;

        LineReader(CountDownLatch answered) {
            this.answered = answered;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            try {
                if (message instanceof HttpContent content && !(message instanceof LastHttpContent)) {
                    contentReceived(content.content());
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void contentReceived(ByteBuf content) {
            answered.countDown();
            if (endsNonEmptyLine(content)) {
                lastChangeAtNanos = Math.max(lastChangeAtNanos, System.nanoTime());
                pendingChanges.countDown();
            }
        }

        /** The measured servers never send a change's final newline separately from the rest of its line. */
        private static boolean endsNonEmptyLine(ByteBuf content) {
            return content.readableBytes() > 1 && content.getByte(content.writerIndex() - 1) == '\n';
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
