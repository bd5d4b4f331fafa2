package topazvalve.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.discovery.client.DiscoveryCall;
import topazvalve.discovery.state.EndpointStore;
import topazvalve.discovery.state.EndpointStore.CatchUp;
import topazvalve.discovery.state.EndpointStore.UpdateResult;
import topazvalve.discovery.state.SourceVersion;
import topazvalve.discovery.state.VersionVector;
import topazvalve.relay.RelaySettings.SourceSettings;

/**
 * One relay: follows its sources, and tells who watches. One event loop owns its state. What a caller
 * lacks is decided by {@link EndpointStore}; here is when, and within which bounds.
 *
 * <p>It vouches for its list while it hears a source. Once it hears none it says nothing more, closes who
 * follows, one after the other, and refuses calls: they find another relay, or keep the list they have.
 */
public final class DiscoveryRelay {
    private static final Logger LOG = LoggerFactory.getLogger("relay");
    /** A source brings a line every 2 s; a relay takes so long a silence for a break, as a sidecar does. */
    private static final long VOUCH_NS = TimeUnit.MILLISECONDS.toNanos(DiscoveryCall.IDLE_TIMEOUT_MILLIS);

    private static final long LINE_MS = 2_000;
    private static final long SWEEP_MS = 250;
    /**
     * How long a caller that is ahead is held: less than it waits, more than from one line of a source to the
     * next. What it has was told before it asked; a relay that has heard each source since is not behind.
     */
    private static final long PARK_MS = 2_250;
    /** Whole lists that slow callers still hold, of different versions; each is encoded once for all. */
    private static final int MOST_WHOLE = 8;
    /** From one line of changes to the next: what comes sooner is gathered, as lines cost each reader. */
    static final long GATHER_NS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final int LONGEST_HEAD = 4 << 10;
    private static final int BACKLOG = 1_024;

    private final EventLoop loop;
    private final RelaySettings settings;
    private final EndpointStore lists;
    private final List<SourceSubscription> links = new ArrayList<>();
    private final Set<Subscriber> callers = new LinkedHashSet<>();
    private final RelayMetrics figures = new RelayMetrics();
    private final SplittableRandom random;
    /** The whole list as it is now, once somebody needed it, and older ones that are still being written. */
    private ByteBuf whole;

    private final List<ByteBuf> wholeBefore = new ArrayList<>();
    /** Changes that are still to be told, each server's newest line; from which versions on. */
    private final Map<String, EndpointStore.Entry> gathered = new LinkedHashMap<>();

    private VersionVector gatheredFrom;
    private long toldAt = System.nanoTime() - GATHER_NS;
    private boolean vouched;
    private boolean closed;
    private Channel listening;

    /** Of these settings; {@code seed} is its own, so that relays that lost a source do not ask in step. */
    public DiscoveryRelay(EventLoop loop, RelaySettings settings, long seed) {
        this.loop = loop;
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        List<String> names =
                settings.sources().stream().map(SourceSettings::name).toList();
        this.lists = new EndpointStore(names, settings.loggedEntries());
        for (SourceSettings each : settings.sources()) {
            links.add(new SourceSubscription(loop, each, lists, random.nextLong(), new SourceSubscription.Listener() {
                @Override
                public void taken(UpdateResult taken, VersionVector before) {
                    DiscoveryRelay.this.taken(taken, before);
                }

                @Override
                public void filled() {
                    waitingAgain();
                }
            }));
        }
    }

    /** Listens, and follows its sources; the future is done once callers can come. */
    public ChannelFuture start() {
        loop.execute(() -> links.forEach(SourceSubscription::start));
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(this::nothingNew, LINE_MS, LINE_MS, TimeUnit.MILLISECONDS);
        ChannelFuture opened = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(
                                settings.subscriberBufferBytes() / 4, settings.subscriberBufferBytes()))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        made.pipeline()
                                .addLast(
                                        new HttpRequestDecoder(LONGEST_HEAD, LONGEST_HEAD, LONGEST_HEAD),
                                        new Subscriber(DiscoveryRelay.this, made));
                    }
                })
                .bind(settings.listen());
        listening = opened.channel();
        return opened;
    }

    /** Where it listens; from any thread, once it does. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Ends as a process does: every connection is closed. From any thread; done once the loop did so. */
    public Future<?> close() {
        return loop.submit(() -> {
            closed = true;
            listening.close();
            links.forEach(SourceSubscription::close);
            List.copyOf(callers).forEach(Subscriber::close);
        });
    }

    /** Whether any source was heard lately: what is told is then no older than that. */
    boolean vouches() {
        return links.stream().anyMatch(link -> link.silentFor() <= VOUCH_NS);
    }

    private String retryAfter() {
        return String.format(Locale.ROOT, "%.2f", 0.25 + random.nextDouble());
    }

    // Callers

    void opened(Subscriber caller) {
        callers.add(caller);
        if (closed) {
            caller.close();
        } else if (callers.size() > settings.maxSubscribers()) {
            figures.refusedFull++;
            caller.end(ChunkEncoder.answer("503 Service Unavailable", retryAfter(), "full\n"));
        }
    }

    void closed(Subscriber caller) {
        callers.remove(caller);
    }

    void bad(Subscriber caller, String why) {
        figures.refusedBad++;
        caller.end(ChunkEncoder.answer("400 Bad Request", "", why + "\n"));
    }

    void asked(Subscriber caller, DiscoveryRequest query) {
        figures.calls++;
        if (!vouches()) {
            figures.refusedUnheard++;
            caller.end(ChunkEncoder.answer("503 Service Unavailable", retryAfter(), "no source is heard\n"));
        } else if (!query.watch()) {
            once(caller);
        } else {
            caller.has(versions(query));
            bring(caller);
        }
    }

    private void once(Subscriber caller) {
        ByteBuf list = lists.isComplete() ? whole() : null;
        if (list == null) {
            figures.refusedBehind++;
            refuse(caller, "not every source was heard yet\n");
        } else {
            figures.wholeLists++;
            caller.tellLast(list);
        }
    }

    /**
     * How far a caller has come. One that tells a number alone is taken at its word where that says all: with
     * one source that tells no epoch.
     */
    private VersionVector versions(DiscoveryRequest query) {
        if (!query.versions().isEmpty() || query.from() == 0 || links.size() > 1) {
            return query.versions();
        }
        SourceVersion now = lists.versions().versionOf(links.get(0).name());
        return now == null || now.epoch() > 0
                ? VersionVector.NONE
                : VersionVector.of(links.get(0).name(), new SourceVersion(0, query.from()));
    }

    /** Brings a caller to the newest state, if that can be done now. */
    private void bring(Subscriber caller) {
        CatchUp lack = lists.catchUp(caller.has());
        if (lack == CatchUp.SNAPSHOT
                && links.stream().anyMatch(link -> link.fill(caller.has().versionOf(link.name())))) {
            caller.park(PARK_MS, () -> settle(caller));
        } else if (lack == CatchUp.DELTA) {
            VersionVector now = lists.versions();
            List<EndpointStore.Entry> entries = lists.changesSince(caller.has());
            figures.changes++;
            caller.current(true);
            caller.has(caller.has().merge(now));
            caller.tell(ChunkEncoder.list(now, false, entries));
        } else if (lack == CatchUp.SNAPSHOT) {
            tellWhole(caller);
        } else if (caller.begun()) {
            // It followed, and what this relay hears now is older: its next one is not behind, or is soon.
            caller.close();
        } else {
            caller.park(PARK_MS, () -> settle(caller));
        }
    }

    private void tellWhole(Subscriber caller) {
        ByteBuf list = whole();
        if (list == null) {
            figures.refusedFull++;
            refuse(caller, "too many whole lists are being sent\n");
        } else {
            figures.wholeLists++;
            caller.current(true);
            caller.has(lists.versions());
            caller.tell(list);
        }
    }

    private void refuse(Subscriber caller, String why) {
        if (caller.begun()) {
            caller.close();
        } else {
            caller.end(ChunkEncoder.answer("503 Service Unavailable", retryAfter(), why));
        }
    }

    /** A parked caller's time is over. */
    private void settle(Subscriber caller) {
        CatchUp lack = lists.catchUp(caller.has());
        long parked = TimeUnit.MILLISECONDS.toNanos(PARK_MS);
        boolean heard = links.stream().allMatch(link -> link.silentFor() < parked);
        if (lists.isComplete() && (lack == CatchUp.SNAPSHOT || (lack == CatchUp.AHEAD_OR_RESTARTED && heard))) {
            tellWhole(caller);
        } else if (lack == CatchUp.DELTA) {
            bring(caller);
        } else {
            figures.refusedBehind++;
            refuse(caller, "behind what you have\n");
        }
    }

    /** The whole list, encoded once for each state; null while too many older ones are being written. */
    private ByteBuf whole() {
        if (whole == null) {
            wholeBefore.removeIf(each -> {
                boolean written = each.refCnt() == 1;
                if (written) {
                    each.release();
                }
                return written;
            });
            if (wholeBefore.size() >= MOST_WHOLE) {
                return null;
            }
            whole = ChunkEncoder.list(lists.versions(), true, lists.snapshot());
        }
        return whole.retainedDuplicate();
    }

    /** A caller that was slow has taken what waited for it: it hears the newest state, not what it missed. */
    void drained(Subscriber caller) {
        if (caller.state() == Subscriber.State.FOLLOWING && !caller.current()) {
            bring(caller);
        }
    }

    void counted(int bytes) {
        figures.bytes += bytes;
    }

    // Sources

    private void taken(UpdateResult taken, VersionVector before) {
        VersionVector now = lists.versions();
        if (taken == UpdateResult.UNCHANGED && now.equals(before)) {
            return;
        }
        if (whole != null) {
            wholeBefore.add(whole);
            whole = null;
        }
        waitingAgain();
        if (taken == UpdateResult.FIRST_UPDATE) {
            for (Subscriber each : List.copyOf(callers)) {
                if (each.state() == Subscriber.State.FOLLOWING) {
                    bring(each);
                }
            }
            return;
        }
        for (EndpointStore.Entry each : lists.changedEntries()) {
            gathered.remove(each.uid());
            gathered.put(each.uid(), each);
        }
        if (gatheredFrom == null) {
            gatheredFrom = before;
            long left = toldAt + GATHER_NS - System.nanoTime();
            if (left <= 0) {
                tellGathered();
            } else {
                loop.schedule(this::tellGathered, left, TimeUnit.NANOSECONDS);
            }
        }
    }

    /** One line for all that changed since the last one; encoded once for all who are as far as that. */
    private void tellGathered() {
        VersionVector before = gatheredFrom;
        VersionVector now = lists.versions();
        ByteBuf line = ChunkEncoder.list(now, false, List.copyOf(gathered.values()));
        gathered.clear();
        gatheredFrom = null;
        toldAt = System.nanoTime();
        for (Subscriber each : List.copyOf(callers)) {
            if (each.state() == Subscriber.State.FOLLOWING) {
                tell(each, line, before, now);
            }
        }
        line.release();
    }

    private void tell(Subscriber caller, ByteBuf line, VersionVector before, VersionVector now) {
        if (!caller.ready()) {
            figures.overtaken += caller.current() ? 1 : 0;
            caller.current(false);
        } else if (!caller.current()) {
            bring(caller);
        } else if (!caller.has().equals(now)) {
            figures.changes++;
            caller.has(caller.has().equals(before) ? now : caller.has().merge(now));
            caller.tell(line.retainedDuplicate());
        }
    }

    private void waitingAgain() {
        for (Subscriber each : List.copyOf(callers)) {
            if (each.state() == Subscriber.State.PARKED) {
                again(each);
            }
        }
    }

    private void again(Subscriber caller) {
        CatchUp lack = lists.catchUp(caller.has());
        if (lack == CatchUp.DELTA || lack == CatchUp.SNAPSHOT) {
            bring(caller);
        }
    }

    // Time

    private void nothingNew() {
        if (!vouches()) {
            return;
        }
        for (Subscriber each : List.copyOf(callers)) {
            if (each.state() == Subscriber.State.FOLLOWING && each.ready()) {
                each.tell(ChunkEncoder.EMPTY.duplicate());
            }
        }
    }

    private void sweep() {
        boolean vouches = vouches();
        if (vouched && !vouches) {
            LOG.warn("no source is heard: whoever follows is sent to another relay");
            List.copyOf(callers).forEach(each -> {
                if (each.state() == Subscriber.State.FOLLOWING || each.state() == Subscriber.State.PARKED) {
                    refuse(each, "no source is heard\n");
                }
            });
        } else if (!vouched && vouches) {
            LOG.info(
                    "{} follows {} of {} sources, {} servers",
                    settings.name(),
                    links.stream().filter(link -> link.silentFor() <= VOUCH_NS).count(),
                    links.size(),
                    lists.liveCount());
        }
        vouched = vouches;
        for (Subscriber each : List.copyOf(callers)) {
            if (each.stalledMs() > settings.stallTimeoutMillis()) {
                figures.stalled++;
                each.close();
            }
        }
    }

    /** All figures, as {@code key=value} lines. */
    String figures() {
        StringBuilder text = new StringBuilder();
        RelayMetrics.line(text, "callers", callers.size());
        RelayMetrics.line(
                text,
                "following",
                callers.stream()
                        .filter(each -> each.state() == Subscriber.State.FOLLOWING)
                        .count());
        RelayMetrics.line(text, "servers", lists.liveCount());
        RelayMetrics.line(text, "vouches", vouches() ? 1 : 0);
        text.append("versions=").append(lists.versions()).append('\n');
        for (SourceSubscription each : links) {
            RelayMetrics.line(
                    text, "source." + each.name() + ".silent_ms", TimeUnit.NANOSECONDS.toMillis(each.silentFor()));
        }
        figures.print(text);
        return text.toString();
    }
}
