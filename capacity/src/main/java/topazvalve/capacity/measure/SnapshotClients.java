package topazvalve.capacity.measure;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Minimal HTTP clients that all request the complete endpoint list at the same moment. A client whose call fails
 * retries with exponential backoff and jitter, as a sidecar does.
 */
final class SnapshotClients {
    private static final int FIRST_BACKOFF_MILLIS = 100;
    private static final int MAX_BACKOFF_MILLIS = 5_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final EventLoopGroup group;
    private final int port;
    private final SplittableRandom jitter;
    private final CountDownLatch pending;
    private volatile long lastReceivedAtNanos;

    private SnapshotClients(EventLoopGroup group, int port, int count, long seed) {
        this.group = group;
        this.port = port;
        this.jitter = new SplittableRandom(seed);
        this.pending = new CountDownLatch(count);
    }

    /**
     * Runs a number of clients until each has received a list.
     *
     * @param seed the seed of the backoff jitter
     * @return the seconds from the first call until the last client has a list
     * @throws MeasurementException if a client has no list after {@code timeoutSeconds}
     */
    static double run(EventLoopGroup group, int port, int count, long seed, int timeoutSeconds)
            throws IOException, InterruptedException {
        SnapshotClients clients = new SnapshotClients(group, port, count, seed);
        long startedAtNanos = System.nanoTime();
        for (int i = 0; i < count; i++) {
            clients.request(FIRST_BACKOFF_MILLIS);
        }
        if (!clients.pending.await(timeoutSeconds, TimeUnit.SECONDS)) {
            throw new MeasurementException(clients.pending.getCount() + " of " + count
                    + " clients have no endpoint list after " + timeoutSeconds + " s");
        }
        return (clients.lastReceivedAtNanos - startedAtNanos) / NANOS_PER_SECOND;
    }

    /** Sends a request; {@code backoffMillis} is the backoff if it fails. */
    private void request(int backoffMillis) {
        ChannelFuture connected = DiscoveryCalls.connect(
                group,
                port,
                channel -> channel.pipeline().addLast(new HttpClientCodec(), new ResponseReader(backoffMillis)));
        connected.addListener((ChannelFuture done) -> {
            if (done.isSuccess()) {
                DiscoveryCalls.requestSnapshot(done.channel());
            } else {
                retry(backoffMillis);
            }
        });
    }

    private synchronized void retry(int backoffMillis) {
        int delayMillis = backoffMillis / 2 + jitter.nextInt(backoffMillis);
        int nextBackoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
        group.schedule(() -> request(nextBackoffMillis), delayMillis, TimeUnit.MILLISECONDS);
    }

    private synchronized void listReceived() {
        lastReceivedAtNanos = System.nanoTime();
        pending.countDown();
    }

    private final class ResponseReader extends ChannelInboundHandlerAdapter {
        private final int backoffMillis;
        private boolean rejected;
        private boolean completed;

        ResponseReader(int backoffMillis) {
            this.backoffMillis = backoffMillis;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpResponse response) {
                rejected = response.status().code() != HttpResponseStatus.OK.code();
            }
            boolean last = message instanceof LastHttpContent;
            if (message instanceof HttpContent) {
                ReferenceCountUtil.release(message);
            }
            if (last) {
                responseCompleted(context);
            }
        }

        private void responseCompleted(ChannelHandlerContext context) {
            completed = true;
            context.close();
            if (rejected) {
                retry(backoffMillis);
            } else {
                listReceived();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!completed) {
                completed = true;
                retry(backoffMillis);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
