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
import topazvalve.lists.ListState;
import topazvalve.lists.ListState.Lack;
import topazvalve.lists.ListState.Taken;
import topazvalve.lists.Version;
import topazvalve.lists.Versions;
import topazvalve.relay.RelaySettings.SourceSettings;
import topazvalve.sidecar.discovery.ListCall;

/**
 * One relay: follows its sources, and tells who watches. One event loop owns its state. What a caller
 * lacks is decided by {@link ListState}; here is when, and within which bounds.
 *
 * <p>It vouches for its list while it hears a source. Once it hears none it says nothing more, closes who
 * follows, one after the other, and refuses calls: they find another relay, or keep the list they have.
 */
public final class Relay {
    private static final Logger LOG = LoggerFactory.getLogger("relay");
    /** A source brings a line every 2 s; a relay takes so long a silence for a break, as a sidecar does. */
    private static final long VOUCH_NS = TimeUnit.MILLISECONDS.toNanos(ListCall.SILENCE_MS);

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
    private final ListState lists;
    private final List<SourceLink> links = new ArrayList<>();
    private final Set<Caller> callers = new LinkedHashSet<>();
    private final Figures figures = new Figures();
    private final SplittableRandom random;
    /** The whole list as it is now, once somebody needed it, and older ones that are still being written. */
    private ByteBuf whole;

    private final List<ByteBuf> wholeBefore = new ArrayList<>();
    /** Changes that are still to be told, each server's newest line; from which versions on. */
    private final Map<String, ListState.Entry> gathered = new LinkedHashMap<>();

    private Versions gatheredFrom;
    private long toldAt = System.nanoTime() - GATHER_NS;
    private boolean vouched;
    private boolean closed;
    private Channel listening;

    /** Of these settings; {@code seed} is its own, so that relays that lost a source do not ask in step. */
    public Relay(EventLoop loop, RelaySettings settings, long seed) {
        this.loop = loop;
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        List<String> names =
                settings.sources().stream().map(SourceSettings::name).toList();
        this.lists = new ListState(names, settings.loggedEntries());
        for (SourceSettings each : settings.sources()) {
            links.add(new SourceLink(loop, each, lists, random.nextLong(), new SourceLink.Listener() {
                @Override
                public void taken(Taken taken, Versions before) {
                    Relay.this.taken(taken, before);
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
        loop.execute(() -> links.forEach(SourceLink::start));
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
                        new WriteBufferWaterMark(settings.callerBytes() / 4, settings.callerBytes()))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        made.pipeline()
                                .addLast(
                                        new HttpRequestDecoder(LONGEST_HEAD, LONGEST_HEAD, LONGEST_HEAD),
                                        new Caller(Relay.this, made));
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
            links.forEach(SourceLink::close);
            List.copyOf(callers).forEach(Caller::close);
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

    void opened(Caller caller) {
        callers.add(caller);
        if (closed) {
            caller.close();
        } else if (callers.size() > settings.mostCallers()) {
            figures.refusedFull++;
            caller.end(Lines.answer("503 Service Unavailable", retryAfter(), "full\n"));
        }
    }

    void closed(Caller caller) {
        callers.remove(caller);
    }

    void bad(Caller caller, String why) {
        figures.refusedBad++;
        caller.end(Lines.answer("400 Bad Request", "", why + "\n"));
    }

    void asked(Caller caller, Query query) {
        figures.calls++;
        if (!vouches()) {
            figures.refusedUnheard++;
            caller.end(Lines.answer("503 Service Unavailable", retryAfter(), "no source is heard\n"));
        } else if (!query.watch()) {
            once(caller);
        } else {
            caller.has(versions(query));
            bring(caller);
        }
    }

    private void once(Caller caller) {
        ByteBuf list = lists.complete() ? whole() : null;
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
    private Versions versions(Query query) {
        if (!query.versions().isEmpty() || query.from() == 0 || links.size() > 1) {
            return query.versions();
        }
        Version now = lists.versions().at(links.get(0).name());
        return now == null || now.epoch() > 0
                ? Versions.NONE
                : Versions.of(links.get(0).name(), new Version(0, query.from()));
    }

    /** Brings a caller to the newest state, if that can be done now. */
    private void bring(Caller caller) {
        Lack lack = lists.lack(caller.has());
        if (lack == Lack.WHOLE
                && links.stream().anyMatch(link -> link.fill(caller.has().at(link.name())))) {
            caller.park(PARK_MS, () -> settle(caller));
        } else if (lack == Lack.CHANGES) {
            Versions now = lists.versions();
            List<ListState.Entry> entries = lists.changes(caller.has());
            figures.changes++;
            caller.current(true);
            caller.has(caller.has().after(now));
            caller.tell(Lines.list(now, false, entries));
        } else if (lack == Lack.WHOLE) {
            tellWhole(caller);
        } else if (caller.begun()) {
            // It followed, and what this relay hears now is older: its next one is not behind, or is soon.
            caller.close();
        } else {
            caller.park(PARK_MS, () -> settle(caller));
        }
    }

    private void tellWhole(Caller caller) {
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

    private void refuse(Caller caller, String why) {
        if (caller.begun()) {
            caller.close();
        } else {
            caller.end(Lines.answer("503 Service Unavailable", retryAfter(), why));
        }
    }

    /** A parked caller's time is over. */
    private void settle(Caller caller) {
        Lack lack = lists.lack(caller.has());
        long parked = TimeUnit.MILLISECONDS.toNanos(PARK_MS);
        boolean heard = links.stream().allMatch(link -> link.silentFor() < parked);
        if (lists.complete() && (lack == Lack.WHOLE || (lack == Lack.AHEAD_OR_ANEW && heard))) {
            tellWhole(caller);
        } else if (lack == Lack.CHANGES) {
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
            whole = Lines.list(lists.versions(), true, lists.whole());
        }
        return whole.retainedDuplicate();
    }

    /** A caller that was slow has taken what waited for it: it hears the newest state, not what it missed. */
    void drained(Caller caller) {
        if (caller.state() == Caller.State.FOLLOWING && !caller.current()) {
            bring(caller);
        }
    }

    void counted(int bytes) {
        figures.bytes += bytes;
    }

    // Sources

    private void taken(Taken taken, Versions before) {
        Versions now = lists.versions();
        if (taken == Taken.SAME && now.equals(before)) {
            return;
        }
        if (whole != null) {
            wholeBefore.add(whole);
            whole = null;
        }
        waitingAgain();
        if (taken == Taken.FIRST) {
            for (Caller each : List.copyOf(callers)) {
                if (each.state() == Caller.State.FOLLOWING) {
                    bring(each);
                }
            }
            return;
        }
        for (ListState.Entry each : lists.changed()) {
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
        Versions before = gatheredFrom;
        Versions now = lists.versions();
        ByteBuf line = Lines.list(now, false, List.copyOf(gathered.values()));
        gathered.clear();
        gatheredFrom = null;
        toldAt = System.nanoTime();
        for (Caller each : List.copyOf(callers)) {
            if (each.state() == Caller.State.FOLLOWING) {
                tell(each, line, before, now);
            }
        }
        line.release();
    }

    private void tell(Caller caller, ByteBuf line, Versions before, Versions now) {
        if (!caller.ready()) {
            figures.overtaken += caller.current() ? 1 : 0;
            caller.current(false);
        } else if (!caller.current()) {
            bring(caller);
        } else if (!caller.has().equals(now)) {
            figures.changes++;
            caller.has(caller.has().equals(before) ? now : caller.has().after(now));
            caller.tell(line.retainedDuplicate());
        }
    }

    private void waitingAgain() {
        for (Caller each : List.copyOf(callers)) {
            if (each.state() == Caller.State.PARKED) {
                again(each);
            }
        }
    }

    private void again(Caller caller) {
        Lack lack = lists.lack(caller.has());
        if (lack == Lack.CHANGES || lack == Lack.WHOLE) {
            bring(caller);
        }
    }

    // Time

    private void nothingNew() {
        if (!vouches()) {
            return;
        }
        for (Caller each : List.copyOf(callers)) {
            if (each.state() == Caller.State.FOLLOWING && each.ready()) {
                each.tell(Lines.EMPTY.duplicate());
            }
        }
    }

    private void sweep() {
        boolean vouches = vouches();
        if (vouched && !vouches) {
            LOG.warn("no source is heard: whoever follows is sent to another relay");
            List.copyOf(callers).forEach(each -> {
                if (each.state() == Caller.State.FOLLOWING || each.state() == Caller.State.PARKED) {
                    refuse(each, "no source is heard\n");
                }
            });
        } else if (!vouched && vouches) {
            LOG.info(
                    "{} follows {} of {} sources, {} servers",
                    settings.name(),
                    links.stream().filter(link -> link.silentFor() <= VOUCH_NS).count(),
                    links.size(),
                    lists.live());
        }
        vouched = vouches;
        for (Caller each : List.copyOf(callers)) {
            if (each.stalledMs() > settings.stallMs()) {
                figures.stalled++;
                each.close();
            }
        }
    }

    /** All figures, as {@code key=value} lines. */
    String figures() {
        StringBuilder text = new StringBuilder();
        Figures.line(text, "callers", callers.size());
        Figures.line(
                text,
                "following",
                callers.stream()
                        .filter(each -> each.state() == Caller.State.FOLLOWING)
                        .count());
        Figures.line(text, "servers", lists.live());
        Figures.line(text, "vouches", vouches() ? 1 : 0);
        text.append("versions=").append(lists.versions()).append('\n');
        for (SourceLink each : links) {
            Figures.line(text, "source." + each.name() + ".silent_ms", TimeUnit.NANOSECONDS.toMillis(each.silentFor()));
        }
        figures.print(text);
        return text.toString();
    }
}
