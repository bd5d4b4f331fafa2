package topazvalve.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import topazvalve.discovery.state.VersionVector;

/** Which changes are sent together, when, and from which versions. */
class ChangeBatcherTest {
    private static final int MAX_ATTEMPTS = 1_000;

    /** A batch as its receiver saw it, with a copy of its text, since the bytes are released afterwards. */
    private record Received(VersionVector from, VersionVector to, String text, ByteBuf encoded) {}

    /** A batcher with its own store on an event loop whose timers fire only on request. */
    private static final class Fixture {
        final StoreFixture endpoints = new StoreFixture();
        final List<Received> received = new ArrayList<>();
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final ChangeBatcher batcher = new ChangeBatcher(channel.eventLoop(), endpoints.store, this::receive);

        private void receive(ChangeBatch batch) {
            String text = batch.encoded().toString(StandardCharsets.UTF_8);
            received.add(new Received(batch.from(), batch.to(), text, batch.encoded()));
        }

        /** Changes an endpoint and adds the change; returns the versions before it. */
        VersionVector change(String uid) {
            VersionVector before = endpoints.change(uid);
            batcher.add(endpoints.store.changedEntries(), before);
            return before;
        }

        void fireTimers() {
            channel.advanceTimeBy(ChangeBatcher.MIN_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
            channel.runScheduledPendingTasks();
        }
    }

    /**
     * Returns a fixture to which changes of these endpoints were added within one interval. The batcher reads the
     * system clock, so this is retried with a new fixture if the machine paused for longer than the interval.
     */
    private static Fixture changedWithinOneInterval(String... uids) {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            Fixture fixture = new Fixture();
            long startNanos = System.nanoTime();
            for (String uid : uids) {
                fixture.change(uid);
            }
            if (System.nanoTime() - startNanos < ChangeBatcher.MIN_INTERVAL_NANOS) {
                return fixture;
            }
        }
        throw new AssertionError("the machine paused during each of " + MAX_ATTEMPTS + " attempts");
    }

    @Test
    void changeAfterAnIdleIntervalIsSentImmediately() {
        Fixture fixture = new Fixture();
        VersionVector before = fixture.change("a");
        assertEquals(1, fixture.received.size());
        assertEquals(before, fixture.received.get(0).from());
        assertEquals(fixture.endpoints.store.versions(), fixture.received.get(0).to());
        assertTrue(fixture.received.get(0).text().contains("\"all\":false"));
    }

    @Test
    void changesWithinTheIntervalAreDelayedUntilItsEnd() {
        Fixture fixture = changedWithinOneInterval("a", "b", "c");
        assertEquals(1, fixture.received.size());
        fixture.fireTimers();
        assertEquals(2, fixture.received.size());
    }

    @Test
    void delayedChangesAreSentInOneBatch() {
        Fixture fixture = changedWithinOneInterval("a", "b", "c");
        fixture.fireTimers();
        Received first = fixture.received.get(0);
        Received second = fixture.received.get(1);
        assertEquals(first.to(), second.from());
        assertEquals(fixture.endpoints.store.versions(), second.to());
        assertTrue(second.text().contains("\"uid\":\"b\"") && second.text().contains("\"uid\":\"c\""), second.text());
    }

    @Test
    void endpointThatChangedTwiceIsSentOnceWithItsLatestStateAfterTheOthers() {
        Fixture fixture = changedWithinOneInterval("a", "b", "c", "b");
        fixture.fireTimers();
        // The store's first snapshot has revision 1 and the change of a revision 2.
        String targets = StoreFixture.entry("c", 4).json() + ","
                + StoreFixture.entry("b", 5).json();
        String text = fixture.received.get(1).text();
        assertTrue(text.contains("\"targets\":[" + targets + "]"), text);
    }

    @Test
    void changesThatWereSentAreNotSentAgain() {
        Fixture fixture = changedWithinOneInterval("a", "b");
        fixture.fireTimers();
        fixture.change("c");
        fixture.fireTimers();
        Received last = fixture.received.get(2);
        assertEquals(3, fixture.received.size());
        assertEquals(fixture.received.get(1).to(), last.from());
        assertTrue(last.text().contains("\"uid\":\"c\"") && !last.text().contains("\"uid\":\"b\""), last.text());
    }

    @Test
    void nothingIsSentWithoutAChange() {
        Fixture fixture = new Fixture();
        fixture.change("a");
        fixture.fireTimers();
        assertEquals(1, fixture.received.size());
    }

    @Test
    void bytesOfABatchAreReleasedOnceItsReceiverReturns() {
        Fixture fixture = new Fixture();
        fixture.change("a");
        assertEquals(0, fixture.received.get(0).encoded().refCnt());
    }
}
