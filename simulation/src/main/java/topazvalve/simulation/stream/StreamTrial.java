package topazvalve.simulation.stream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.StreamTimeoutException;

/**
 * Sends many streams with random sizes, pauses and half-closes through a proxy to stand-in servers while servers drain
 * and are killed, and compares the logs of both ends. All random numbers come from the seed; which streams a fault
 * affects depends on timing.
 */
public final class StreamTrial implements AutoCloseable {
    private static final int MAX_STREAM_BYTES = 1 << 20;
    private static final long DRAIN_GRACE_NANOS = 500_000_000;
    private static final long DRAIN_MILLIS = 1_200;
    private static final long DOWNTIME_MILLIS = 200;
    private static final long HANG_TIMEOUT_SECONDS = 60;
    /** How long the server ends may stay open after the client ends have closed. */
    private static final long MAX_SETTLE_SECONDS = 10;

    private static final long SETTLE_POLL_MILLIS = 50;
    private static final int MAX_DESCRIBED_STREAMS = 5;
    private static final int ANY_SERVER = -1;

    /** Controls the endpoint list of the proxy. It is called from a thread of the trial, never on an event loop. */
    public interface DrainControl {
        /** Lists these servers as draining and all others as ready. */
        void setDraining(List<InetSocketAddress> servers);
    }

    /**
     * The result of a trial.
     *
     * @param broken streams that were reset or whose server was killed
     * @param unserved streams that reached no server
     * @param openedDuringDrain streams that were opened while a server had been draining for more than 500 ms
     * @param openedOnDrainingServer those of them that reached a server that had been draining so long
     * @param bytes bytes that both ends received
     * @param mismatches a description of each stream whose ends disagree
     */
    public record Result(
            int streams,
            int halfCloses,
            int broken,
            int unserved,
            int openedDuringDrain,
            int openedOnDrainingServer,
            long bytes,
            List<String> mismatches) {}

    /** The drain of a server. Times are nanoseconds of {@link System#nanoTime}. */
    private static final class Drain {
        private final long startedAt = System.nanoTime();
        private volatile long endedAt = Long.MAX_VALUE;

        /** Returns whether the drain was in progress at a time and its grace period was over. */
        boolean forbidsOpeningAt(long time) {
            return time > startedAt + DRAIN_GRACE_NANOS && time < endedAt;
        }
    }

    private final long seed;
    private final MultiThreadIoEventLoopGroup clientGroup =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup serverGroup =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Map<Long, StreamLog> logs = new ConcurrentHashMap<>();
    private final List<StreamStandIn> servers = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    /** The drains by server number. */
    private final Map<Integer, List<Drain>> drains = new ConcurrentHashMap<>();

    /** Creates a trial and opens its servers. */
    public StreamTrial(long seed, int serverCount) throws InterruptedException {
        this.seed = seed;
        for (int i = 0; i < serverCount; i++) {
            StreamStandIn each = new StreamStandIn(i, serverGroup, logs::get);
            servers.add(each);
            addresses.add(each.listen());
            drains.put(i, new ArrayList<>());
        }
    }

    /** Returns the addresses of the servers. */
    public List<InetSocketAddress> addresses() {
        return addresses;
    }

    /**
     * Performs the trial.
     *
     * @param proxyAddress the address on which the proxy accepts streams
     * @param maxConcurrentStreams the maximum number of streams that are open at once
     * @param faultIntervalMillis the milliseconds before each fault
     * @throws StreamTimeoutException if streams hang
     */
    public Result run(
            InetSocketAddress proxyAddress,
            DrainControl drainControl,
            int streams,
            int maxConcurrentStreams,
            long faultIntervalMillis)
            throws InterruptedException {
        Semaphore capacity = new Semaphore(maxConcurrentStreams);
        Thread faultInjector = new Thread(() -> injectFaults(drainControl, faultIntervalMillis), "fault-injector");
        faultInjector.start();
        for (long i = 0; i < streams; i++) {
            if (!capacity.tryAcquire(HANG_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new StreamTimeoutException(describeHangingStreams());
            }
            StreamLog log = new StreamLog(i, StreamPlan.of(seed, i, MAX_STREAM_BYTES));
            logs.put(i, log);
            open(proxyAddress, log, capacity);
        }
        boolean allFinished = capacity.tryAcquire(maxConcurrentStreams, HANG_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        faultInjector.interrupt();
        faultInjector.join();
        if (!allFinished) {
            throw new StreamTimeoutException(describeHangingStreams());
        }
        // The server ends close shortly after the client ends.
        long settleDeadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_SETTLE_SECONDS);
        while (!mismatches().isEmpty() && System.nanoTime() < settleDeadline) {
            Thread.sleep(SETTLE_POLL_MILLIS);
        }
        return result(streams);
    }

    private List<String> describeHangingStreams() {
        return logs.values().stream()
                .filter(log -> log.finished.getCount() > 0)
                .limit(MAX_DESCRIBED_STREAMS)
                .map(log -> log.number + " " + log.plan + " up " + log.client.sent + "/" + log.server.received
                        + " down " + log.server.sent + "/" + log.client.received)
                .toList();
    }

    private void open(InetSocketAddress proxyAddress, StreamLog log, Semaphore capacity) {
        new Bootstrap()
                .group(clientGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new StreamEnd(true, () -> {
                                            log.finished.countDown();
                                            capacity.release();
                                        }) {
                                            @Override
                                            public void channelActive(ChannelHandlerContext context) {
                                                context.write(Unpooled.copyLong(log.number));
                                                log.client.sent = Long.BYTES;
                                                begin(log, context.channel());
                                                context.flush();
                                            }
                                        });
                    }
                })
                .connect(proxyAddress)
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        log.finished.countDown();
                        capacity.release();
                    }
                });
    }

    /** Alternately drains a random server for a while, and kills one and opens it again. */
    private void injectFaults(DrainControl drainControl, long faultIntervalMillis) {
        Random random = new Random(seed);
        try {
            for (int round = 0; ; round++) {
                Thread.sleep(faultIntervalMillis);
                int server = random.nextInt(servers.size());
                if (round % 2 == 0) {
                    Drain drain = new Drain();
                    drains.get(server).add(drain);
                    drainControl.setDraining(List.of(addresses.get(server)));
                    Thread.sleep(DRAIN_MILLIS);
                    drain.endedAt = System.nanoTime();
                    drainControl.setDraining(List.of());
                } else {
                    servers.get(server).kill();
                    Thread.sleep(DOWNTIME_MILLIS);
                    servers.get(server).listen();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether a server, or any for {@link #ANY_SERVER}, had been draining for more than 500 ms at a time. */
    private boolean wasDraining(int server, long time) {
        return drains.entrySet().stream()
                .filter(each -> server == ANY_SERVER || each.getKey() == server)
                .flatMap(each -> each.getValue().stream())
                .anyMatch(drain -> drain.forbidsOpeningAt(time));
    }

    private List<String> mismatches() {
        List<String> mismatches = new ArrayList<>();
        for (StreamLog log : logs.values()) {
            String mismatch = log.servedBy < 0 ? unservedMismatch(log) : log.mismatch();
            if (mismatch != null) {
                mismatches.add(mismatch);
            }
        }
        return mismatches;
    }

    /** Describes a stream that reached no server but received bytes or a half-close; returns null if it did not. */
    private static String unservedMismatch(StreamLog log) {
        return log.client.received > 0 || log.client.peerEnd == StreamLog.PeerEnd.END
                ? "stream " + log.number + " reached no server but received " + log.client.received + " "
                        + log.client.peerEnd
                : null;
    }

    private Result result(int streams) {
        int openedOnDrainingServer = 0;
        int openedDuringDrain = 0;
        int halfCloses = 0;
        int broken = 0;
        int unserved = 0;
        long bytes = 0;
        for (StreamLog log : logs.values()) {
            halfCloses += StreamEnd.halfCloses(log.plan) ? 1 : 0;
            broken += log.killed || log.client.reset || log.server.reset ? 1 : 0;
            unserved += log.servedBy < 0 && !log.client.reset ? 1 : 0;
            bytes += log.client.received + log.server.received;
            openedDuringDrain += log.servedBy >= 0 && wasDraining(ANY_SERVER, log.openedAt) ? 1 : 0;
            openedOnDrainingServer += log.servedBy >= 0 && wasDraining(log.servedBy, log.openedAt) ? 1 : 0;
        }
        return new Result(
                streams, halfCloses, broken, unserved, openedDuringDrain, openedOnDrainingServer, bytes, mismatches());
    }

    @Override
    public void close() {
        clientGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        serverGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
