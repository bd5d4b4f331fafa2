package topazvalve.sidecar.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.servers.ServerList;
import topazvalve.decisions.Balancer.ListKind;
import topazvalve.sidecar.json.Json;
import topazvalve.sidecar.json.Node;

/**
 * Asks discovery for the list: a watch on its changes, or the whole once. The module decides when. An answer
 * that is wrong, cut, without end or empty is not taken: the list in force stays, and one log line says why.
 */
public final class Discovery implements ServerList {
    private static final Logger LOG = LoggerFactory.getLogger("discovery");
    /** A call may wait in discovery's queue, for 2 s where that is known, before it is answered or fails. */
    private static final long ANSWER_MS = 5_000;
    /**
     * An answered watch brings an empty line every 2 s. One that has fallen silent counts as told 6 s later:
     * by then it must be noticed, opened anew (a connect of up to 1 s, and a call that waits) and answered.
     */
    private static final long SILENCE_MS = 3_000;
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final EventLoop loop;
    private final ServerList.Listener listener;
    private final Set<Call> calls = new HashSet<>();
    private InetSocketAddress address;
    private long rev;
    private boolean moved;
    private boolean wanted;
    /** How soon a watch that has ended is opened again; null where the module says so. */
    private final Pushed pushed;
    /** Whether any server is, or was, in the list in force. */
    private boolean listed;
    private Call watch;
    /** Why the last call failed; null if it did not. */
    private String fault;

    /**
     * Tells {@code listener} of each answer and each failure, on the loop; {@code known} is in force now.
     * {@code pushed} is null where the module says when to follow.
     */
    public Discovery(EventLoop loop, InetSocketAddress address, Listing known, Pushed pushed,
            ServerList.Listener listener) {
        this.loop = loop;
        this.pushed = pushed;
        this.address = address;
        this.rev = known.rev();
        this.listed = !known.targets().isEmpty();
        this.listener = listener;
    }

    /**
     * Where lists are pushed: follows from now on by itself. The module, to which lists come unasked there,
     * does not ask; and what is there to be told counts as told from the first moment.
     */
    public void followPushed() {
        if (pushed != null) {
            watch(true);
        }
    }

    private void followOn() {
        if (wanted && watch == null) {
            watch(true);
        }
    }

    /** Follows changes from the last one known; a watch that is asked for again replaces the old one. */
    @Override
    public void watch(boolean on) {
        wanted = on;
        if (watch != null) {
            watch.close();
            watch = null;
        }
        if (on) {
            watch = new Call(true);
            watch.open();
        }
    }

    /**
     * From now on another service is asked. What the old one may still say changes nothing; calls that were
     * out begin again at the new one. Its versions need not follow on from the old one's, so its whole list
     * is asked for.
     */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        rev = 0;
        moved = true;
        int fetches = 0;
        for (Call call : List.copyOf(calls)) {
            fetches += call.watching ? 0 : 1;
            call.close();
        }
        watch(wanted);
        for (int i = 0; i < fetches; i++) {
            fetch();
        }
    }

    @Override
    public void fetch() {
        new Call(false).open();
    }

    @Override
    public void close() {
        wanted = false;
        watch = null;
        List.copyOf(calls).forEach(Call::close);
    }

    private final class Call extends SimpleChannelInboundHandler<HttpObject> implements Lines.Taker {
        private final boolean watching;
        private final Lines lines = new Lines();
        private Channel channel;
        private Future<?> silence;
        private boolean answered;
        private boolean over;
        /** Changes up to this version came with a whole list that was asked for meanwhile. */
        private long outdated = -1;

        Call(boolean watching) {
            this.watching = watching;
        }

        void open() {
            calls.add(this);
            heard();
            new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
                            pushed == null ? CONNECT_TIMEOUT_MS : pushed.connectMs())
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel made) {
                            channel = made;
                            made.pipeline().addLast(new HttpClientCodec(), Call.this);
                        }
                    })
                    .connect(address)
                    .addListener(done -> {
                        if (done.isSuccess()) {
                            ask();
                        } else {
                            fail("not reached: " + done.cause().getMessage());
                        }
                    });
        }

        private void ask() {
            String path = "/discovery/hosts" + (watching ? "?watch=1&from=" + rev : "");
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    path);
            request.headers().set(HttpHeaderNames.HOST,
                    address.getAddress().getHostAddress() + ":" + address.getPort());
            channel.writeAndFlush(request);
        }

        private void heard() {
            if (silence != null) {
                silence.cancel(false);
            }
            boolean following = watching && answered;
            fault = answered ? null : fault;
            silence = following ? loop.schedule(this::followAnew, SILENCE_MS, TimeUnit.MILLISECONDS)
                    : loop.schedule(() -> fail("no whole answer for " + ANSWER_MS + " ms"), ANSWER_MS,
                            TimeUnit.MILLISECONDS);
        }

        /**
         * The watch has fallen silent. That says nothing of discovery's load, so the next one is opened at
         * once; sidecars whose watches fall silent together notice it spread over the time between lines.
         */
        private void followAnew() {
            if (!over && watch == this) {
                LOG.warn("watch opened anew: no whole line for {} ms", SILENCE_MS);
                watch(true);
            }
        }

        void close() {
            over = true;
            calls.remove(this);
            silence.cancel(false);
            if (channel != null) {
                channel.close();
            }
        }

        private void fail(String why) {
            if (!over) {
                if (!why.equals(fault)) {
                    LOG.warn("list not taken, the one in force stays: {}", why);
                }
                fault = why;
                close();
                boolean followed = watch == this;
                watch = followed ? null : watch;
                if (pushed == null) {
                    listener.listed(ListKind.FAILED, List.of());
                } else if (followed) {
                    // The module, which did not ask, is not to wait and ask again.
                    loop.schedule(Discovery.this::followOn, pushed.pauseMs(), TimeUnit.MILLISECONDS);
                }
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) throws IOException {
            if (over) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                fail("not HTTP");
                return;
            }
            if (message instanceof HttpResponse response
                    && !response.status().equals(HttpResponseStatus.OK)) {
                fail("status " + response.status().code());
                return;
            }
            if (message instanceof HttpContent content) {
                lines.take(content.content(), this);
                if (!over && message instanceof LastHttpContent) {
                    if (watching || !answered || lines.open()) {
                        fail("the answer ended");
                    } else {
                        close();
                    }
                }
            }
        }

        @Override
        public boolean empty() {
            if (watching && !answered) {
                // Nothing has changed since the version known: that, too, is the watch's answer.
                answered = true;
                listener.listed(ListKind.DELTA, List.of());
            }
            if (!over) {
                heard();
            }
            return !over;
        }

        @Override
        public boolean object(byte[] text) throws IOException {
            take(Json.read(text));
            if (!over) {
                heard();
            }
            return !over;
        }

        private void take(Node node) {
            if (!node.path("rev").isWhole() || !node.path("targets").isArray()) {
                fail("a line that is no list");
                return;
            }
            Listing listing = Listing.of(node);
            if (listing.all() && listing.targets().isEmpty() && listed) {
                fail("the whole list is empty");
                return;
            }
            if (!watching && !moved && listing.rev() < rev) {
                fail("version " + listing.rev() + " is older than " + rev);
                return;
            }
            answered = true;
            if (watching && !listing.all() && listing.rev() <= outdated) {
                return;
            }
            listed |= !listing.targets().isEmpty();
            rev = listing.rev();
            if (!watching && watch != null) {
                watch.outdated = rev;
            }
            if (moved) {
                moved = false;
                if (!listing.all()) {
                    // Only changes: who was listed by the old service and is not by this one would stay.
                    fetch();
                }
            }
            listener.listed(listing.all() ? ListKind.FULL : ListKind.DELTA, listing.targets());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail("the connection ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(cause.toString().lines().findFirst().orElse(""));
        }
    }
}
