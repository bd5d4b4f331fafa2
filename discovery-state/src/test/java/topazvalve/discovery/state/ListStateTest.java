package topazvalve.discovery.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import topazvalve.discovery.state.EndpointStore.CatchUp;
import topazvalve.discovery.state.EndpointStore.Entry;
import topazvalve.discovery.state.EndpointStore.Update;
import topazvalve.discovery.state.EndpointStore.UpdateResult;

/** What a relay keeps, and what a follower lacks. */
class ListStateTest {
    private final EndpointStore state = new EndpointStore(List.of("eu"), 100);

    private static Entry entry(String uid, String line) {
        return new Entry(uid, false, line);
    }

    private static Update whole(long epoch, long rev, Entry... entries) {
        return new Update(new SourceVersion(epoch, rev), true, List.of(entries));
    }

    private static Update change(long epoch, long rev, Entry... entries) {
        return new Update(new SourceVersion(epoch, rev), false, List.of(entries));
    }

    private static VersionVector at(long epoch, long rev) {
        return VersionVector.of("eu", new SourceVersion(epoch, rev));
    }

    private static List<String> uids(List<Entry> entries) {
        return entries.stream().map(Entry::uid).toList();
    }

    @Test
    void aFollowerHearsTheNewestLineOfWhatChangedAndNotAQueue() {
        state.apply("eu", whole(1, 10, entry("a", "1"), entry("b", "1")));
        state.apply("eu", change(1, 11, entry("a", "2")));
        state.apply("eu", change(1, 12, entry("a", "3")));
        state.apply("eu", change(1, 13, new Entry("b", true, "gone")));
        assertEquals(CatchUp.DELTA, state.catchUp(at(1, 10)));
        assertEquals(List.of(entry("a", "3"), new Entry("b", true, "gone")), state.changesSince(at(1, 10)));
        assertEquals(List.of("b"), uids(state.changesSince(at(1, 12))));
        assertEquals(List.of(), state.changesSince(at(1, 13)));
        assertEquals(List.of("a"), uids(state.snapshot()));
        assertEquals(1, state.liveCount());
    }

    @Test
    void whoComesFromBeforeTheLogGetsTheWholeList() {
        state.apply("eu", whole(1, 10, entry("a", "1")));
        assertEquals(CatchUp.SNAPSHOT, state.catchUp(at(1, 9)));
        assertEquals(CatchUp.SNAPSHOT, state.catchUp(VersionVector.NONE));
        assertEquals(CatchUp.DELTA, state.catchUp(at(1, 10)));
    }

    @Test
    void theLogIsBoundedAndForgetsTheGone() {
        EndpointStore small = new EndpointStore(List.of("eu"), 3);
        small.apply("eu", whole(1, 10, entry("a", "1"), entry("b", "1")));
        small.apply("eu", change(1, 11, new Entry("a", true, "gone")));
        for (int i = 0; i < 4; i++) {
            small.apply("eu", change(1, 12 + i, entry("b", "x" + i)));
        }
        assertEquals(CatchUp.SNAPSHOT, small.catchUp(at(1, 10)));
        assertEquals(CatchUp.DELTA, small.catchUp(at(1, 12)));
        assertEquals(List.of("b"), uids(small.changesSince(at(1, 12))));
    }

    /** A relay that has just begun serves changes from before its time: its source was asked for them. */
    @Test
    void whatChangedBeforeTheRelayBeganIsFilledIn() {
        state.apply("eu", whole(0, 100, entry("a", "9"), entry("b", "1")));
        assertEquals(
                UpdateResult.UNCHANGED,
                state.backfill(
                        "eu", new SourceVersion(0, 50), change(0, 100, entry("a", "9"), new Entry("z", true, "gone"))));
        assertEquals(CatchUp.DELTA, state.catchUp(at(0, 60)));
        assertEquals(List.of("a", "z"), uids(state.changesSince(at(0, 60))));
        assertEquals(List.of(), state.changesSince(at(0, 100)));
        assertEquals(CatchUp.SNAPSHOT, state.catchUp(at(0, 49)));
    }

    @Test
    void whatChangedBetweenTheWholeListAndTheFillIsServedToo() {
        state.apply("eu", whole(0, 100, entry("a", "9"), entry("b", "1")));
        assertEquals(
                UpdateResult.CHANGED,
                state.backfill("eu", new SourceVersion(0, 50), change(0, 102, entry("a", "9"), entry("b", "2"))));
        assertEquals(List.of("b"), uids(state.changesSince(at(0, 100))));
        assertEquals(List.of("a", "b"), uids(state.changesSince(at(0, 50))));
    }

    @Test
    void aSourceThatAnswersTheFillWithItsWholeListHasNoLogToFillFrom() {
        state.apply("eu", whole(0, 100, entry("a", "9")));
        state.backfill("eu", new SourceVersion(0, 50), whole(0, 100, entry("a", "9")));
        assertEquals(CatchUp.SNAPSHOT, state.catchUp(at(0, 60)));
    }

    @Test
    void aSourceThatBeganAnewIsFollowedByWhoItNames() {
        state.apply("eu", whole(1, 900, entry("a", "1"), entry("b", "1")));
        assertEquals(
                UpdateResult.NOT_CONTIGUOUS, state.apply("eu", change(2, 5, entry("a", "2"))), "not by changes alone");
        assertEquals(UpdateResult.CHANGED, state.apply("eu", whole(2, 5, entry("a", "1"))));
        assertEquals(List.of("b"), uids(state.changedEntries()), "followers hear only what that changed");
        assertEquals(List.of("b"), uids(state.changesSince(at(1, 900))));
        assertEquals(UpdateResult.STALE, state.apply("eu", whole(1, 901, entry("a", "1"), entry("b", "1"))));
        assertEquals(CatchUp.AHEAD, state.catchUp(at(2, 6)));
        assertEquals(CatchUp.AHEAD, state.catchUp(at(3, 1)));
    }

    @Test
    void withoutEpochsALowerVersionCanMeanBothAndIsHeldFirst() {
        state.apply("eu", whole(0, 900, entry("a", "1")));
        assertEquals(UpdateResult.STALE, state.apply("eu", change(0, 5, entry("a", "2"))));
        assertEquals(UpdateResult.UNCHANGED, state.apply("eu", whole(0, 5, entry("a", "1"))), "it began anew");
        assertEquals(CatchUp.AHEAD_OR_RESTARTED, state.catchUp(at(0, 900)));
        assertEquals(CatchUp.DELTA, state.catchUp(at(0, 5)));
        assertEquals(CatchUp.SNAPSHOT, state.catchUp(at(0, 4)));
        assertEquals(CatchUp.AHEAD_OR_RESTARTED, state.catchUp(at(7, 5)), "a known life against one that is not");
    }

    @Test
    void aListOfNobodyIsNotBelieved() {
        state.apply("eu", whole(1, 10, entry("a", "1")));
        assertEquals(UpdateResult.EMPTY_SNAPSHOT, state.apply("eu", whole(1, 11)));
        assertEquals(UpdateResult.EMPTY_SNAPSHOT, state.apply("eu", whole(1, 11, new Entry("a", true, "gone"))));
        assertEquals(at(1, 10), state.versions());
    }

    @Test
    void anOlderWholeListOfTheSameLifeIsNotTaken() {
        state.apply("eu", whole(1, 10, entry("a", "2")));
        assertEquals(UpdateResult.STALE, state.apply("eu", whole(1, 9, entry("a", "1"))));
        assertEquals(List.of(entry("a", "2")), state.snapshot());
        assertEquals(List.of(), state.changedEntries());
    }

    @Test
    void aCutRegionKeepsItsEntriesAndTheOthersGoOn() {
        EndpointStore two = new EndpointStore(List.of("eu", "us"), 100);
        two.apply("eu", whole(1, 10, entry("a", "1")));
        assertEquals(CatchUp.INCOMPLETE, two.catchUp(VersionVector.NONE), "a whole list would let us vanish");
        VersionVector has = VersionVector.parse("eu:1.10,us:1.70");
        assertEquals(CatchUp.DELTA, two.catchUp(has), "but changes of the source that is heard go on");
        assertEquals(CatchUp.INCOMPLETE, two.catchUp(VersionVector.parse("eu:1.3,us:1.70")));
        two.apply("eu", change(1, 11, entry("a", "2")));
        assertEquals(List.of("a"), uids(two.changesSince(has)));
        assertEquals("eu:1.11", two.versions().toString(), "and nothing is said of us");
        two.apply("us", whole(1, 70, entry("x", "1")));
        assertTrue(two.isComplete());
        assertEquals(List.of("a", "x"), uids(two.snapshot()));
        assertEquals(List.of("x"), uids(two.changesSince(at(1, 11))), "all of a source not known to the follower");
        assertEquals(CatchUp.AHEAD, two.catchUp(VersionVector.parse("eu:1.3,us:1.71")), "ahead at one of them");
    }

    @Test
    void aGoneServersLineIsAnObjectWhateverItsName() {
        assertEquals(
                "{\"uid\":\"a\\u0022\\u005c\\u000a\",\"state\":\"DELETED\"}",
                Entry.tombstone("a\"\\\n").json());
    }

    @Test
    void aZonesServersInOneChangeAreOneAnswer() {
        Entry[] all = IntStream.range(0, 440).mapToObj(i -> entry("s" + i, "1")).toArray(Entry[]::new);
        Entry[] drained =
                IntStream.range(0, 440).mapToObj(i -> entry("s" + i, "2")).toArray(Entry[]::new);
        EndpointStore large = new EndpointStore(List.of("eu"), 1_000);
        large.apply("eu", whole(1, 1, all));
        large.apply("eu", change(1, 2, drained));
        assertEquals(440, large.changesSince(at(1, 1)).size());
        assertFalse(large.changesSince(at(1, 1)).contains(entry("s1", "1")));
    }
}
