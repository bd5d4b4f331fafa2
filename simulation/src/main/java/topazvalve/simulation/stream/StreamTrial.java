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

/**
 * Many streams of random sizes, pauses and half-closes through a listener to stand-in servers, while servers
 * drain and die; afterwards both ends' logs are compared. All chance comes from the seed; how the streams
 * fall among the faults depends on the machine.
 */
public final class StreamTrial implements AutoCloseable {
    private static final int LARGEST = 1 << 20;
    private static final long RULE_NS = 500_000_000;
    private static final long DRAIN_MS = 1_200;
    private static final long LIMIT_S = 60;

    /** What the trial asks of whatever carries the streams; called between streams, never on a loop. */
    public interface Fleet {
        /** From now on these servers are listed as draining, all others as ready. */
        void draining(List<InetSocketAddress> servers);
    }

    /**
     * What came of it; {@code faults} has one line for each stream that does not agree. {@code watched} were
     * opened while some server had been drained for longer than 500 ms, {@code late} of them at that server.
     */
    public record Result(
            int streams,
            int halfCloses,
            int broken,
            int refused,
            int watched,
            int late,
            long bytes,
            List<String> faults) {}

    private final long seed;
    private final MultiThreadIoEventLoopGroup clients = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup serving = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Map<Long, StreamLog> logs = new ConcurrentHashMap<>();
    private final List<StreamStandIn> servers = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    /** From when to when each server was draining, in {@link System#nanoTime}. */
    private final Map<Integer, List<long[]>> drains = new ConcurrentHashMap<>();

    /** With so many servers, which listen from now on. */
    public StreamTrial(long seed, int serverCount) throws InterruptedException {
        this.seed = seed;
        for (int i = 0; i < serverCount; i++) {
            StreamStandIn each = new StreamStandIn(i, serving, logs::get);
            servers.add(each);
            addresses.add(each.listen());
            drains.put(i, new ArrayList<>());
        }
    }

    /** Where the servers listen. */
    public List<InetSocketAddress> addresses() {
        return addresses;
    }

    /** Plays so many streams, {@code atOnce} at a time, with a drain or a kill every {@code everyMs}. */
    public Result play(InetSocketAddress listener, Fleet fleet, int streams, int atOnce, long everyMs)
            throws InterruptedException {
        Semaphore room = new Semaphore(atOnce);
        Thread trouble = new Thread(() -> trouble(fleet, everyMs), "trouble");
        trouble.start();
        for (long i = 0; i < streams; i++) {
            if (!room.tryAcquire(LIMIT_S, TimeUnit.SECONDS)) {
                throw new IllegalStateException("streams hang: " + hanging());
            }
            StreamLog log = new StreamLog(i, StreamPlan.of(seed, i, LARGEST));
            logs.put(i, log);
            open(listener, log, room);
        }
        boolean all = room.tryAcquire(atOnce, LIMIT_S, TimeUnit.SECONDS);
        trouble.interrupt();
        trouble.join();
        if (!all) {
            throw new IllegalStateException("streams hang: " + hanging());
        }
        // The servers' ends close a moment after the clients'.
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!compare().isEmpty() && System.nanoTime() < until) {
            Thread.sleep(50);
        }
        return result(streams);
    }

    private List<String> hanging() {
        return logs.values().stream()
                .filter(log -> log.over.getCount() > 0)
                .limit(5)
                .map(log -> log.number + " " + log.plan + " up " + log.client.sent + "/" + log.server.received
                        + " down " + log.server.sent + "/" + log.client.received)
                .toList();
    }

    private void open(InetSocketAddress listener, StreamLog log, Semaphore room) {
        new Bootstrap()
                .group(clients)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        made.pipeline()
                                .addLast(
                                        new StreamEnd(true, () -> {
                                            log.over.countDown();
                                            room.release();
                                        }) {
                                            @Override
                                            public void channelActive(ChannelHandlerContext context) {
                                                context.write(Unpooled.copyLong(log.number));
                                                log.client.sent = 8;
                                                begin(log, context.channel());
                                                context.flush();
                                            }
                                        });
                    }
                })
                .connect(listener)
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        log.over.countDown();
                        room.release();
                    }
                });
    }

    /** By turns one server drains for a while, and another dies and comes back. */
    private void trouble(Fleet fleet, long everyMs) {
        Random random = new Random(seed);
        try {
            for (int turn = 0; ; turn++) {
                Thread.sleep(everyMs);
                int which = random.nextInt(servers.size());
                if (turn % 2 == 0) {
                    long[] drain = {System.nanoTime(), Long.MAX_VALUE};
                    drains.get(which).add(drain);
                    fleet.draining(List.of(addresses.get(which)));
                    Thread.sleep(DRAIN_MS);
                    drain[1] = System.nanoTime();
                    fleet.draining(List.of());
                } else {
                    servers.get(which).kill();
                    Thread.sleep(200);
                    servers.get(which).listen();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether a server, or any where {@code which} is below 0, had been drained for longer than 500 ms. */
    private boolean drained(int which, long at) {
        return drains.entrySet().stream()
                .filter(each -> which < 0 || each.getKey() == which)
                .flatMap(each -> each.getValue().stream())
                .anyMatch(drain -> at > drain[0] + RULE_NS && at < drain[1]);
    }

    private List<String> compare() {
        List<String> faults = new ArrayList<>();
        for (StreamLog log : logs.values()) {
            String fault = log.at < 0 ? unserved(log) : log.fault();
            if (fault != null) {
                faults.add(fault);
            }
        }
        return faults;
    }

    /** One that no server saw has got nothing, and no orderly end. */
    private static String unserved(StreamLog log) {
        return log.client.received > 0 || log.client.seen == StreamLog.Seen.END
                ? "stream " + log.number + " was answered by nobody: " + log.client.seen
                : null;
    }

    private Result result(int streams) {
        int late = 0;
        int watched = 0;
        int halves = 0;
        int broken = 0;
        int refused = 0;
        long bytes = 0;
        for (StreamLog log : logs.values()) {
            halves += StreamEnd.halfCloses(log.plan) ? 1 : 0;
            broken += log.killed || log.client.reset || log.server.reset ? 1 : 0;
            refused += log.at < 0 && !log.client.reset ? 1 : 0;
            bytes += log.client.received + log.server.received;
            watched += log.at >= 0 && drained(-1, log.openedAt) ? 1 : 0;
            late += log.at >= 0 && drained(log.at, log.openedAt) ? 1 : 0;
        }
        return new Result(streams, halves, broken, refused, watched, late, bytes, compare());
    }

    @Override
    public void close() {
        clients.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        serving.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
