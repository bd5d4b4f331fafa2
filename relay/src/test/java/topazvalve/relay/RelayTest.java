package topazvalve.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.discovery.client.EndpointUpdate;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.relay.RelaySettings.SourceSettings;

/** Relays between a scripted source and a sidecar's real reader, over loopback, each on a loop of its own. */
@Timeout(120)
class RelayTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
    private final List<AutoCloseable> open = new ArrayList<>();
    private SourceStub source;

    @BeforeEach
    void begin() {
        source = with(new SourceStub(false, 40));
        source.change("a", "SERVING", "b", "SERVING");
    }

    @AfterEach
    void end() throws Exception {
        for (int i = open.size() - 1; i >= 0; i--) {
            open.get(i).close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private <T extends AutoCloseable> T with(T made) {
        open.add(made);
        return made;
    }

    private static RelaySettings settings(SourceStub... sources) {
        List<SourceSettings> of = new ArrayList<>();
        String[] names = {"eu", "us"};
        for (int i = 0; i < sources.length; i++) {
            of.add(new SourceSettings(names[i], List.of(sources[i].address())));
        }
        return RelaySettings.of("r", new InetSocketAddress("127.0.0.1", 0), of);
    }

    private DiscoveryRelay relay(EventLoop loop, RelaySettings settings) throws Exception {
        DiscoveryRelay relay = new DiscoveryRelay(loop, settings, 1);
        relay.start().sync();
        open.add(() -> relay.close().await(5, TimeUnit.SECONDS));
        awaitReady(relay);
        return relay;
    }

    private DiscoveryRelay relay() throws Exception {
        return relay(group.next(), settings(source));
    }

    private Follower follower(DiscoveryRelay... relays) {
        return with(new Follower(group.next(), relays));
    }

    /** What a sidecar was started with, at version 41. */
    private static EndpointUpdate listing(String uid) {
        return new EndpointUpdate(
                41,
                true,
                List.of(new Endpoint(
                        uid, new InetSocketAddress("127.0.0.1", 9), "", "", 0, EndpointStatus.READY, 1, 0)));
    }

    private static String get(DiscoveryRelay relay, String path) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(relay.address());
            socket.setSoTimeout(30_000);
            socket.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /** The version is the source's own count alone. */
    private static long figure(DiscoveryRelay relay, String key) throws IOException {
        if (key.equals("version")) {
            return Long.parseLong(get(relay, "/_vars").replaceAll("(?s).*versions=eu:0\\.([0-9]+)\n.*", "$1"));
        }
        return Long.parseLong(get(relay, "/_vars")
                .lines()
                .filter(line -> line.startsWith(key + "="))
                .findFirst()
                .orElseThrow()
                .substring(key.length() + 1));
    }

    /** Asks until it is so: the answer itself is what is waited for. */
    private static void awaitReady(DiscoveryRelay relay) throws IOException {
        while (!get(relay, "/_ready").startsWith("HTTP/1.1 200")) {
            LockSupport.parkNanos(5_000_000);
        }
    }

    private static void awaitFigure(DiscoveryRelay relay, String key, long least) throws IOException {
        while (figure(relay, key) < least) {
            LockSupport.parkNanos(5_000_000);
        }
    }

    @Test
    void aListAndItsChangesArePassedOnAsTheyWereWritten() throws Exception {
        DiscoveryRelay relay = relay();
        Follower follower = follower(relay);
        follower.awaitState("b", EndpointStatus.READY);
        source.change("b", "DRAINING");
        follower.awaitState("b", EndpointStatus.DRAINING);
        source.change("b", "DELETED", "c", "SERVING");
        follower.awaitState("b", EndpointStatus.REMOVED);
        follower.awaitState("c", EndpointStatus.READY);
        assertEquals("eu:0.43", follower.versions());
        String whole = get(relay, "/discovery/hosts");
        assertTrue(whole.contains("{\"rev\":43,\"all\":true,"), whole);
        assertTrue(whole.contains(SourceStub.entry("c", "SERVING")), "with what no reader of ours knows");
        assertFalse(whole.contains("\"b\""), "who is gone is not in it");
    }

    /** Today's reader, which knows of no sources, is served by a number alone. */
    @Test
    void aReaderThatTellsANumberGetsChangesAfterIt() throws Exception {
        DiscoveryRelay relay = relay();
        source.change("a", "DRAINING");
        Follower follower = with(new Follower(group.next(), listing("z"), relay));
        follower.awaitState("a", EndpointStatus.DRAINING);
        assertEquals(0, follower.wholes());
        assertEquals(List.of(), follower.history("b"), "nothing that had not changed");
    }

    @Test
    void aChangeThatARelayTookWithItIsHeardFromTheNext() throws Exception {
        DiscoveryRelay first = relay();
        DiscoveryRelay second = relay();
        Follower follower = follower(first, second);
        follower.awaitState("a", EndpointStatus.READY);
        // The first takes the change, and is gone before it can pass it on: its callers are closed first.
        first.close().sync();
        source.change("a", "DRAINING");
        follower.awaitState("a", EndpointStatus.DRAINING);
        assertEquals(1, follower.wholes(), "the second tells what changed, not everything");
        assertEquals(List.of(EndpointStatus.READY, EndpointStatus.DRAINING), follower.history("a"));
    }

    @Test
    void aHalfOpenRelayIsLeft() throws Exception {
        EventLoop stuck = group.next();
        DiscoveryRelay first = relay(stuck, settings(source));
        EventLoop other = group.next();
        DiscoveryRelay second = relay(other, settings(source));
        Follower follower = with(new Follower(group.next(), first, second));
        follower.awaitState("a", EndpointStatus.READY);
        CountDownLatch over = new CountDownLatch(1);
        CountDownLatch began = new CountDownLatch(1);
        stuck.execute(() -> {
            began.countDown();
            try {
                over.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        try {
            began.await();
            source.change("a", "DRAINING");
            long since = System.nanoTime();
            follower.awaitState("a", EndpointStatus.DRAINING);
            assertTrue(System.nanoTime() - since < TimeUnit.SECONDS.toNanos(9), "within the plan's 9 s");
        } finally {
            over.countDown();
        }
    }

    /** The follower heard of a drain; the relay it changes over to has not yet. */
    @Test
    void aRelayBehindItsSiblingTellsNothingOlder() throws Exception {
        SourceStub epochs = with(new SourceStub(true, 40));
        epochs.change("a", "SERVING");
        DiscoveryRelay ahead = relay(group.next(), settings(epochs));
        DiscoveryRelay behind = relay(group.next(), settings(epochs));
        Follower follower = follower(ahead, behind);
        follower.awaitState("a", EndpointStatus.READY);
        epochs.hold(1);
        epochs.change("a", "DRAINING");
        follower.awaitState("a", EndpointStatus.DRAINING);
        ahead.close().sync();
        awaitFigure(behind, "calls", 1);
        assertEquals(List.of(EndpointStatus.READY, EndpointStatus.DRAINING), follower.history("a"));
        epochs.release();
        epochs.change("a", "SERVING");
        follower.awaitState("a", EndpointStatus.READY);
        assertEquals(
                List.of(EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.READY), follower.history("a"));
        assertEquals("eu:1.43", follower.versions());
    }

    @Test
    void aSourceThatBeginsAnewIsFollowedAndFollowersHearTheDifference() throws Exception {
        DiscoveryRelay relay = relay();
        Follower follower = follower(relay);
        follower.awaitState("b", EndpointStatus.READY);
        source.restart(3, "a", "SERVING", "c", "SERVING");
        follower.awaitState("b", EndpointStatus.REMOVED);
        follower.awaitState("c", EndpointStatus.READY);
        assertEquals(1, follower.wholes());
        assertEquals(List.of(EndpointStatus.READY), follower.history("a"), "who stayed is not told again");
        source.change("c", "DRAINING");
        follower.awaitState("c", EndpointStatus.DRAINING);
        assertEquals("eu:0.4", follower.versions());
    }

    /** Without an epoch a lower version may be an old one: a relay that goes on hearing its source knows. */
    @Test
    void aFollowerOfTheOldLifeGetsTheWholeListOnceTheRelayIsSureOfItsSource() throws Exception {
        source.restart(3, "c", "SERVING");
        DiscoveryRelay relay = relay();
        Follower follower = with(new Follower(group.next(), listing("a"), relay));
        follower.awaitState("c", EndpointStatus.READY);
        assertEquals(1, follower.wholes());
    }

    @Test
    void aRelayThatHearsNobodyStopsVouchingAndListsStay() throws Exception {
        DiscoveryRelay first = relay();
        DiscoveryRelay second = relay();
        Follower follower = follower(first, second);
        follower.awaitState("a", EndpointStatus.READY);
        source.silent(true);
        awaitFigure(second, "refused.unheard", 1);
        // Whoever asks for figures is answered all the while.
        assertTrue(get(first, "/_ready").startsWith("HTTP/1.1 503"));
        assertTrue(get(first, "/discovery/hosts").contains("Retry-After: "));
        assertEquals(0, figure(first, "following"), "nobody is told that nothing is new");
        follower.awaitState("a", EndpointStatus.READY);
        source.breakAll();
        source.silent(false);
        source.change("a", "DRAINING");
        follower.awaitState("a", EndpointStatus.DRAINING);
    }

    @Test
    void whileOneRelayIsCutOffItsFollowersGoToOneThatHears() throws Exception {
        DiscoveryRelay cut = relay();
        DiscoveryRelay hears = relay();
        Follower follower = follower(cut, hears);
        follower.awaitState("a", EndpointStatus.READY);
        source.hold(0);
        long began = System.nanoTime();
        source.change("a", "DRAINING");
        follower.awaitState("a", EndpointStatus.DRAINING);
        assertTrue(System.nanoTime() - began < TimeUnit.SECONDS.toNanos(9), "within the plan's 9 s");
    }

    /** All relays begin anew while followers hold a version from before that: no whole list goes out. */
    @Test
    void relaysThatBeginAnewUnderTheirFollowersTellChangesAlone() throws Exception {
        DiscoveryRelay before = relay();
        List<Follower> followers = new ArrayList<>();
        DiscoveryRelay after = new DiscoveryRelay(group.next(), settings(source), 2);
        after.start().sync();
        open.add(() -> after.close().await(5, TimeUnit.SECONDS));
        for (int i = 0; i < 50; i++) {
            followers.add(follower(before, after));
        }
        for (Follower each : followers) {
            each.awaitState("a", EndpointStatus.READY);
        }
        after.close().sync();
        before.close().sync();
        source.change("a", "DRAINING");
        RelaySettings same =
                RelaySettings.of("r", after.address(), settings(source).sources());
        DiscoveryRelay anew = relay(group.next(), same);
        for (Follower each : followers) {
            each.awaitState("a", EndpointStatus.DRAINING);
            assertEquals(1, each.wholes());
            assertEquals(List.of(EndpointStatus.READY, EndpointStatus.DRAINING), each.history("a"));
        }
        assertEquals(0, figure(anew, "whole_lists"));
    }

    /** A thousand servers that change at once, from round to round. */
    private static String[] thousand(int round) {
        return IntStream.range(0, 2_000)
                .mapToObj(i -> i % 2 == 0 ? "s" + i / 2 : round % 2 == 1 ? "DRAINING" : "SERVING")
                .toArray(String[]::new);
    }

    private Socket watching(DiscoveryRelay relay) throws IOException {
        Socket watching = new Socket();
        watching.setReceiveBufferSize(4_096);
        watching.connect(relay.address());
        watching.getOutputStream()
                .write("GET /discovery/hosts?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
        return watching;
    }

    private DiscoveryRelay tight(long stallMs) throws Exception {
        return relay(
                group.next(),
                new RelaySettings(
                        "r",
                        new InetSocketAddress("127.0.0.1", 0),
                        settings(source).sources(),
                        20,
                        4_096,
                        100_000,
                        stallMs));
    }

    @Test
    void aSlowWatcherIsBroughtToTheNewestStateAndNotFedAQueue() throws Exception {
        DiscoveryRelay relay = tight(60_000);
        try (Socket slow = watching(relay)) {
            awaitFigure(relay, "following", 1);
            int round = 0;
            while (figure(relay, "overtaken") == 0) {
                source.change(thousand(round++));
                awaitFigure(relay, "version", 41 + round);
            }
            long last = source.change("end", "SERVING");
            awaitFigure(relay, "servers", 1_003);
            StringBuilder heard = new StringBuilder();
            byte[] some = new byte[65_536];
            while (heard.indexOf("\"uid\":\"end\"") < 0) {
                int read = slow.getInputStream().read(some);
                heard.append(new String(some, 0, read, StandardCharsets.US_ASCII));
            }
            long lines = heard.toString()
                    .lines()
                    .filter(line -> line.startsWith("{"))
                    .count();
            assertTrue(lines < last - 41 + 1, lines + " lines of " + (last - 41 + 1));
        }
    }

    @Test
    void aWatcherThatNeverReadsIsClosedAndOthersAreToldAllTheWhile() throws Exception {
        DiscoveryRelay relay = tight(500);
        Follower reads = follower(relay);
        reads.awaitState("a", EndpointStatus.READY);
        try (Socket never = watching(relay)) {
            awaitFigure(relay, "following", 2);
            assertTrue(never.isConnected());
            for (int round = 0; figure(relay, "stalled") == 0; round++) {
                source.change(thousand(round));
                reads.awaitState("s0", round % 2 == 1 ? EndpointStatus.DRAINING : EndpointStatus.READY);
            }
        }
        source.change("a", "DRAINING");
        reads.awaitState("a", EndpointStatus.DRAINING);
        assertEquals(1, reads.wholes());
    }

    @Test
    void aZonesServersInOneChangeAreOneLine() throws Exception {
        String[] zone = IntStream.range(0, 880)
                .mapToObj(i -> i % 2 == 0 ? "z" + i / 2 : "SERVING")
                .toArray(String[]::new);
        source.change(zone);
        DiscoveryRelay relay = relay();
        Follower follower = follower(relay);
        follower.awaitState("z439", EndpointStatus.READY);
        for (int i = 1; i < zone.length; i += 2) {
            zone[i] = "DELETED";
        }
        source.change(zone);
        follower.await("all gone", servers -> servers.size() == 2);
        assertEquals(1, figure(relay, "changes"));
    }

    /** Changes that come one by one are told in a line each tenth of a second, the first one at once. */
    @Test
    void changesThatFollowEachOtherCloselyAreGathered() throws Exception {
        DiscoveryRelay relay = relay();
        Follower follower = follower(relay);
        follower.awaitState("a", EndpointStatus.READY);
        long began = System.nanoTime();
        for (int i = 0; i < 440; i++) {
            source.change("z" + i, "SERVING");
        }
        follower.await("all", servers -> servers.size() == 442);
        long most = (System.nanoTime() - began) / ChangeBatcher.MIN_INTERVAL_NANOS + 2;
        long lines = figure(relay, "changes");
        assertTrue(lines <= most, lines + " lines, not " + most);
        assertEquals(1, follower.wholes());
        assertEquals("eu:0." + (41 + 440), follower.versions());
    }

    @Test
    void aListOf5700ThatArrivesCutIsNotTakenAndAWholeOneIs() throws Exception {
        String[] all = IntStream.range(0, 11_400)
                .mapToObj(i -> i % 2 == 0 ? "s" + i / 2 : "SERVING")
                .toArray(String[]::new);
        source.change(all);
        source.cut(true);
        DiscoveryRelay relay = new DiscoveryRelay(group.next(), settings(source), 1);
        relay.start().sync();
        open.add(() -> relay.close().await(5, TimeUnit.SECONDS));
        source.asked.take();
        source.asked.take();
        assertEquals(0, figure(relay, "servers"));
        source.cut(false);
        Follower follower = follower(relay);
        follower.await("all", servers -> servers.size() == 5_702);
    }

    @Test
    void aRegionThatIsCutOffKeepsItsEntriesAndTheOthersChangesFlow() throws Exception {
        SourceStub us = with(new SourceStub(true, 7));
        us.change("x", "SERVING");
        DiscoveryRelay relay = relay(group.next(), settings(source, us));
        Follower follower = follower(relay);
        follower.awaitState("a", EndpointStatus.READY);
        follower.awaitState("x", EndpointStatus.READY);
        us.silent(true);
        awaitFigure(relay, "source.us.silent_ms", 3_100);
        us.change("x", "DRAINING");
        source.change("a", "DRAINING");
        follower.awaitState("a", EndpointStatus.DRAINING);
        assertEquals(List.of(EndpointStatus.READY), follower.history("x"));
        us.breakAll();
        us.silent(false);
        follower.awaitState("x", EndpointStatus.DRAINING);
        assertEquals("eu:0.42,us:1.9", follower.versions());
    }

    @Test
    void callersAreBoundedInTimeBytesAndCount() throws Exception {
        RelaySettings tight = new RelaySettings(
                "r", new InetSocketAddress("127.0.0.1", 0), settings(source).sources(), 3, 65_536, 100, 1_000);
        DiscoveryRelay relay = relay(group.next(), tight);
        assertTrue(get(relay, "/discovery/hosts?watch=1&from=x").startsWith("HTTP/1.1 400"));
        assertTrue(get(relay, "/discovery/hosts?watch=1&versions=eu").startsWith("HTTP/1.1 400"));
        assertTrue(get(relay, "/discovery/hosts?" + "x".repeat(9_000)).startsWith("HTTP/1.1 400"));
        assertTrue(get(relay, "/elsewhere").startsWith("HTTP/1.1 404"));
        try (Socket silent = new Socket()) {
            silent.connect(relay.address());
            silent.setSoTimeout(30_000);
            assertEquals(-1, silent.getInputStream().read(), "who says nothing is closed");
        }
        try (Socket one = new Socket();
                Socket two = new Socket();
                Socket three = new Socket()) {
            one.connect(relay.address());
            two.connect(relay.address());
            three.connect(relay.address());
            String full = get(relay, "/discovery/hosts");
            assertTrue(full.startsWith("HTTP/1.1 503") && full.contains("Retry-After: "), full);
        }
    }
}
