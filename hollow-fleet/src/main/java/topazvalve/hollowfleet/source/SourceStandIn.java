package topazvalve.hollowfleet.source;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import java.util.function.LongSupplier;
import topazvalve.discovery.state.SourceVersion;
import topazvalve.hollowfleet.truth.ChangeHistory;
import topazvalve.policy.LoadBalancer.EndpointStatus;

/**
 * A source of lists on loopback: the whole list, and a watch on its changes, one JSON object a line, with an
 * empty line every 2 s. It listens at one address for each zone, which is how it knows where a call comes
 * from. All state belongs to its loop; the public methods may be called from any thread.
 *
 * <p>A watch that can't be written to is passed over until it can, and then brought to the newest state: it
 * holds a version, not a queue. What is told in one tick goes out in one write, shared by all watches.
 */
public final class SourceStandIn {
    private static final long BEAT_MS = 2_000;
    private static final long TICK_MS = 20;
    private static final int BEAT_SLOTS = 20;
    private static final int BACKLOG = 8_192;
    /** What the kernel holds of a list on its way: enough for any change, a part of a whole list. */
    private static final int SEND_BUFFER = 64 << 10;

    private static final ByteBuf BEAT = text("1\r\n\n\r\n");
    private static final ByteBuf WATCH_HEAD =
            text("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n" + "transfer-encoding: chunked\r\n\r\n");
    private static final ByteBuf REFUSED =
            text("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n" + "connection: close\r\n\r\n");

    private final EventLoop loop;
    private final ChangeHistory truth;
    private final LongSupplier clock;
    private final SourceSettings settings;
    private final Catalogue catalogue;
    private final CallQueue queue;
    private final SourceCounts counts = new SourceCounts();
    private final InetSocketAddress[] addresses;
    private final SimulatedLink[] links;
    private final Channel[] listeners;
    private final IntConsumer busySecond;
    private final Set<Caller> callers = new HashSet<>();
    private final Set<Caller> watches = new HashSet<>();
    private final ArrayDeque<Caller> turns = new ArrayDeque<>();
    private int transfers;
    private int beats;
    private long ticked;
    private boolean down;

    /**
     * A source that holds nothing and listens nowhere yet.
     *
     * @param zones as {@link Catalogue} numbers servers to them; one listening address for each
     * @param clock nanoseconds, the one that {@code truth} is written by
     * @param busySecond told, on the loop, how many calls have come in a second, each time one comes
     */
    public SourceStandIn(
            EventLoop loop,
            ChangeHistory truth,
            LongSupplier clock,
            SourceSettings settings,
            List<String> zones,
            IntConsumer busySecond) {
        this.loop = loop;
        this.truth = truth;
        this.clock = clock;
        this.settings = settings;
        this.busySecond = busySecond;
        this.catalogue = new Catalogue(settings.kept(), settings.epoch(), 1, zones.toArray(new String[0]));
        this.queue = new CallQueue(settings.capacity(), settings.callLines(), settings.timeout());
        this.addresses = new InetSocketAddress[zones.size()];
        this.links = new SimulatedLink[zones.size()];
        this.listeners = new Channel[zones.size()];
        Arrays.fill(links, SimulatedLink.OPEN);
        loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(this::beat, BEAT_MS / BEAT_SLOTS, BEAT_MS / BEAT_SLOTS, TimeUnit.MILLISECONDS);
    }

    /** Listens for the callers of a zone; the address it returns has a port. Not from the loop. */
    public InetSocketAddress listen(int zone, InetSocketAddress at) {
        Channel bound = bind(zone, at).syncUninterruptibly().channel();
        addresses[zone] = (InetSocketAddress) bound.localAddress();
        listeners[zone] = bound;
        return addresses[zone];
    }

    private ChannelFuture bind(int zone, InetSocketAddress at) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        made.pipeline().addLast(new HttpRequestDecoder(), new Caller(made, zone));
                    }
                })
                .bind(at);
    }

    public SourceCounts counts() {
        return counts;
    }

    public SourceSettings settings() {
        return settings;
    }

    /** From now on a server is in this state; told at the next tick. */
    public void change(int server, EndpointStatus state) {
        loop.execute(() -> {
            int number = truth.changed(server, state, clock.getAsLong());
            catalogue.put(server, state, number);
        });
    }

    /** The list's version, once all that was asked of this source before is done. Not from the loop. */
    public SourceVersion version() {
        return loop.submit(() -> new SourceVersion(catalogue.epoch(), catalogue.rev()))
                .syncUninterruptibly()
                .getNow();
    }

    /** Tells all watches at once what would have waited for the next tick. */
    public void tellNow() {
        loop.execute(this::tick);
    }

    /** As {@link #change}, but nobody is ever told: a fault to be found. */
    public void swallow(int server, EndpointStatus state) {
        loop.execute(() -> truth.changed(server, state, clock.getAsLong()));
    }

    /** Writes a line to all watches that nothing in the list bears out: a fault to be found. */
    public void plant(String line) {
        loop.execute(() -> {
            ByteBuf chunk = chunk(text(line + "\n"));
            List.copyOf(watches).forEach(each -> each.write(chunk));
            chunk.release();
        });
    }

    /** From now on the network to the callers of a zone is like this. */
    public void link(int zone, SimulatedLink link) {
        loop.execute(() -> {
            boolean heals = links[zone].kind() == SimulatedLink.Kind.CUT && link.kind() != SimulatedLink.Kind.CUT;
            links[zone] = link;
            for (Caller each : List.copyOf(callers)) {
                if (each.zone == zone) {
                    each.linkChanged(heals);
                }
            }
        });
    }

    /** Dies: nobody listens any more, and all connections end. */
    public void stop() {
        loop.execute(() -> {
            down = true;
            for (Channel each : listeners) {
                if (each != null) {
                    each.close();
                }
            }
            List.copyOf(callers).forEach(each -> each.channel.close());
            turns.clear();
        });
    }

    /** Is back after {@link #stop}; with versions that begin again from 1, or go on. */
    public void start(boolean lowerVersions) {
        loop.execute(() -> {
            down = false;
            catalogue.restart(lowerVersions ? 1 : catalogue.rev());
            ticked = catalogue.rev();
            for (int zone = 0; zone < listeners.length; zone++) {
                if (addresses[zone] != null) {
                    listeners[zone] = bind(zone, addresses[zone]).channel();
                }
            }
        });
    }

    private static ByteBuf text(String text) {
        return Unpooled.unreleasableBuffer(
                Unpooled.directBuffer(text.length()).writeBytes(text.getBytes(StandardCharsets.US_ASCII)));
    }

    private static ByteBuf text(String head, int length) {
        return Unpooled.copiedBuffer(head + length + "\r\nconnection: close\r\n\r\n", StandardCharsets.US_ASCII);
    }

    /** One chunk of a chunked answer around these bytes, which are not copied. */
    private static ByteBuf chunk(ByteBuf bytes) {
        return Unpooled.wrappedBuffer(
                Unpooled.copiedBuffer(Integer.toHexString(bytes.readableBytes()) + "\r\n", StandardCharsets.US_ASCII),
                bytes.retainedDuplicate(),
                Unpooled.copiedBuffer("\r\n", StandardCharsets.US_ASCII));
    }

    /** Tells all watches what has changed since the last tick; begins transfers, refuses who waited long. */
    private void tick() {
        long rev = catalogue.rev();
        if (rev > ticked) {
            ByteBuf news = flat(catalogue.lines(ticked));
            for (Caller each : List.copyOf(watches)) {
                if (each.told == ticked && each.takes()) {
                    each.told = rev;
                    each.write(news);
                } else if (each.takes()) {
                    each.catchUp();
                }
            }
            news.release();
            ticked = rev;
        }
        long latest = clock.getAsLong() - settings.timeout();
        while (!turns.isEmpty() && turns.peek().came < latest) {
            turns.remove().refuse();
        }
    }

    /** A chunk in one piece, for many small writes of it. */
    private static ByteBuf flat(ByteBuf bytes) {
        ByteBuf chunk = chunk(bytes);
        ByteBuf whole = Unpooled.directBuffer(chunk.readableBytes()).writeBytes(chunk);
        chunk.release();
        bytes.release();
        return whole;
    }

    private void beat() {
        beats++;
        for (Caller each : List.copyOf(watches)) {
            if ((beats + each.slot) % BEAT_SLOTS == 0 && each.takes()) {
                each.catchUp();
                each.write(BEAT);
            }
        }
    }

    /** Whole lists are begun in turn, so that a few are on their way and each of them soon arrives. */
    private void nextTurn() {
        while (transfers < settings.transfers() && !turns.isEmpty()) {
            Caller next = turns.remove();
            if (next.channel.isActive()) {
                transfers++;
                next.answer().addListener(done -> {
                    transfers--;
                    nextTurn();
                });
            }
        }
    }

    /** A connection, the call on it, and the watch that may become of it. */
    private final class Caller extends SimpleChannelInboundHandler<Object> {
        private final Channel channel;
        private final int zone;
        private int slot;
        private boolean asked;
        private boolean watching;
        private boolean open;
        private long from;
        private long told;
        private long came;

        Caller(Channel channel, int zone) {
            this.channel = channel;
            this.zone = zone;
            callers.add(this);
            channel.closeFuture().addListener(closed -> {
                callers.remove(this);
                watches.remove(this);
                counts.watches(watches.size());
            });
            linkChanged(down);
        }

        void linkChanged(boolean reset) {
            if (reset) {
                ((SocketChannelConfig) channel.config()).setSoLinger(0);
                channel.close();
                return;
            }
            channel.config().setAutoRead(!links[zone].blocked());
            if (open && takes()) {
                catchUp();
            }
        }

        boolean takes() {
            return !links[zone].blocked() && channel.isWritable();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Object message) {
            if (!(message instanceof HttpRequest request) || asked) {
                return;
            }
            asked = true;
            came = clock.getAsLong();
            busySecond.accept(counts.called(came));
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            watching = uri.parameters().containsKey("watch");
            try {
                from = Long.parseLong(
                        uri.parameters().getOrDefault("from", List.of("0")).get(0));
            } catch (NumberFormatException e) {
                from = 0;
            }
            long at = !uri.path().equals("/discovery/hosts") || links[zone].kind() == SimulatedLink.Kind.REFUSING
                    ? -1
                    : queue.answered(came, catalogue.entriesFor(from, watching));
            if (at < 0) {
                refuse();
            } else if (settings.capacity() == 0) {
                takeTurn();
            } else {
                loop.schedule(this::answer, at - came, TimeUnit.NANOSECONDS);
            }
        }

        private void takeTurn() {
            if (watching && catalogue.reaches(from)) {
                answer();
            } else {
                turns.add(this);
                nextTurn();
            }
        }

        void refuse() {
            counts.refused.increment();
            write(REFUSED).addListener(done -> channel.close());
        }

        /** The whole list, or the watch's first line; the future is over when it has left this process. */
        ChannelFuture answer() {
            if (!watching) {
                counts.wholes.increment();
                ByteBuf list = catalogue.whole();
                ByteBuf answer = Unpooled.wrappedBuffer(
                        text("HTTP/1.1 200 OK\r\ncontent-length: ", list.readableBytes()), list.retainedDuplicate());
                ChannelFuture written = write(answer);
                answer.release();
                return written;
            }
            slot = beats % BEAT_SLOTS;
            open = true;
            counts.wholes.add(catalogue.reaches(from) ? 0 : 1);
            told = catalogue.rev();
            watches.add(this);
            counts.watches(watches.size());
            write(WATCH_HEAD);
            return writeChunk(catalogue.since(from));
        }

        /** Brings a watch that was passed over, or that is new, to the newest state. */
        void catchUp() {
            if (told < catalogue.rev()) {
                long known = told;
                told = catalogue.rev();
                writeChunk(catalogue.since(known));
            }
        }

        private ChannelFuture writeChunk(ByteBuf line) {
            ByteBuf chunk = chunk(line);
            ChannelFuture written = write(chunk);
            chunk.release();
            return written;
        }

        /** Sends a duplicate of these bytes, late where the link is slow. */
        ChannelFuture write(ByteBuf bytes) {
            counts.bytes.add(bytes.readableBytes());
            ByteBuf sent = bytes.retainedDuplicate();
            if (links[zone].kind() != SimulatedLink.Kind.SLOW) {
                return channel.writeAndFlush(sent);
            }
            ChannelPromise later = channel.newPromise();
            loop.schedule(() -> channel.writeAndFlush(sent, later), links[zone].delay(), TimeUnit.NANOSECONDS);
            return later;
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (open && takes()) {
                catchUp();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
