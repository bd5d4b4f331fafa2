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

/** Tests applying updates to the store, and the deltas and snapshots that it serves to followers. */
class EndpointStoreTest {
    private final EndpointStore store = new EndpointStore(List.of("eu"), 100);

    private static Entry entry(String uid, String json) {
        return new Entry(uid, false, json);
    }

    private static Update snapshot(long epoch, long revision, Entry... entries) {
        return new Update(new SourceVersion(epoch, revision), true, List.of(entries));
    }

    private static Update delta(long epoch, long revision, Entry... entries) {
        return new Update(new SourceVersion(epoch, revision), false, List.of(entries));
    }

    private static VersionVector at(long epoch, long revision) {
        return VersionVector.of("eu", new SourceVersion(epoch, revision));
    }

    private static List<String> uids(List<Entry> entries) {
        return entries.stream().map(Entry::uid).toList();
    }

    @Test
    void deltaContainsOnlyTheLatestEntryOfEachChangedEndpoint() {
        store.apply("eu", snapshot(1, 10, entry("a", "1"), entry("b", "1")));
        store.apply("eu", delta(1, 11, entry("a", "2")));
        store.apply("eu", delta(1, 12, entry("a", "3")));
        store.apply("eu", delta(1, 13, new Entry("b", true, "removed")));
        assertEquals(CatchUp.DELTA, store.catchUp(at(1, 10)));
        assertEquals(List.of(entry("a", "3"), new Entry("b", true, "removed")), store.changesSince(at(1, 10)));
        assertEquals(List.of("b"), uids(store.changesSince(at(1, 12))));
        assertEquals(List.of(), store.changesSince(at(1, 13)));
        assertEquals(List.of("a"), uids(store.snapshot()));
        assertEquals(1, store.liveCount());
    }

    @Test
    void followerWithAVersionBeforeTheLogGetsASnapshot() {
        store.apply("eu", snapshot(1, 10, entry("a", "1")));
        assertEquals(CatchUp.SNAPSHOT, store.catchUp(at(1, 9)));
        assertEquals(CatchUp.SNAPSHOT, store.catchUp(VersionVector.NONE));
        assertEquals(CatchUp.DELTA, store.catchUp(at(1, 10)));
    }

    @Test
    void logIsBoundedAndDropsRemovedEndpoints() {
        EndpointStore small = new EndpointStore(List.of("eu"), 3);
        small.apply("eu", snapshot(1, 10, entry("a", "1"), entry("b", "1")));
        small.apply("eu", delta(1, 11, new Entry("a", true, "removed")));
        for (int i = 0; i < 4; i++) {
            small.apply("eu", delta(1, 12 + i, entry("b", "x" + i)));
        }
        assertEquals(CatchUp.SNAPSHOT, small.catchUp(at(1, 10)));
        assertEquals(CatchUp.DELTA, small.catchUp(at(1, 12)));
        assertEquals(List.of("b"), uids(small.changesSince(at(1, 12))));
    }

    /** A relay that has just started requests earlier changes from its source, to serve them to followers. */
    @Test
    void backfillServesChangesFromBeforeTheFirstSnapshot() {
        store.apply("eu", snapshot(0, 100, entry("a", "9"), entry("b", "1")));
        assertEquals(
                UpdateResult.UNCHANGED,
                store.backfill(
                        "eu",
                        new SourceVersion(0, 50),
                        delta(0, 100, entry("a", "9"), new Entry("z", true, "removed"))));
        assertEquals(CatchUp.DELTA, store.catchUp(at(0, 60)));
        assertEquals(List.of("a", "z"), uids(store.changesSince(at(0, 60))));
        assertEquals(List.of(), store.changesSince(at(0, 100)));
        assertEquals(CatchUp.SNAPSHOT, store.catchUp(at(0, 49)));
    }

    @Test
    void backfillAlsoAppliesChangesSinceTheFirstSnapshot() {
        store.apply("eu", snapshot(0, 100, entry("a", "9"), entry("b", "1")));
        assertEquals(
                UpdateResult.CHANGED,
                store.backfill("eu", new SourceVersion(0, 50), delta(0, 102, entry("a", "9"), entry("b", "2"))));
        assertEquals(List.of("b"), uids(store.changesSince(at(0, 100))));
        assertEquals(List.of("a", "b"), uids(store.changesSince(at(0, 50))));
    }

    @Test
    void snapshotInResponseToABackfillDoesNotExtendTheLog() {
        store.apply("eu", snapshot(0, 100, entry("a", "9")));
        store.backfill("eu", new SourceVersion(0, 50), snapshot(0, 100, entry("a", "9")));
        assertEquals(CatchUp.SNAPSHOT, store.catchUp(at(0, 60)));
    }

    @Test
    void restartedSourceIsAcceptedWithASnapshotOnly() {
        store.apply("eu", snapshot(1, 900, entry("a", "1"), entry("b", "1")));
        assertEquals(
                UpdateResult.NOT_CONTIGUOUS,
                store.apply("eu", delta(2, 5, entry("a", "2"))),
                "a delta after a restart is rejected");
        assertEquals(UpdateResult.CHANGED, store.apply("eu", snapshot(2, 5, entry("a", "1"))));
        assertEquals(List.of("b"), uids(store.changedEntries()), "followers get only the difference");
        assertEquals(List.of("b"), uids(store.changesSince(at(1, 900))));
        assertEquals(UpdateResult.STALE, store.apply("eu", snapshot(1, 901, entry("a", "1"), entry("b", "1"))));
        assertEquals(CatchUp.AHEAD, store.catchUp(at(2, 6)));
        assertEquals(CatchUp.AHEAD, store.catchUp(at(3, 1)));
    }

    @Test
    void snapshotWithALowerRevisionIsAcceptedWithoutEpochs() {
        store.apply("eu", snapshot(0, 900, entry("a", "1")));
        assertEquals(UpdateResult.STALE, store.apply("eu", delta(0, 5, entry("a", "2"))));
        assertEquals(
                UpdateResult.UNCHANGED,
                store.apply("eu", snapshot(0, 5, entry("a", "1"))),
                "the source may have restarted");
        assertEquals(CatchUp.AHEAD_OR_RESTARTED, store.catchUp(at(0, 900)));
        assertEquals(CatchUp.DELTA, store.catchUp(at(0, 5)));
        assertEquals(CatchUp.SNAPSHOT, store.catchUp(at(0, 4)));
        assertEquals(
                CatchUp.AHEAD_OR_RESTARTED,
                store.catchUp(at(7, 5)),
                "versions with and without an epoch are not comparable");
    }

    @Test
    void emptySnapshotIsRejected() {
        store.apply("eu", snapshot(1, 10, entry("a", "1")));
        assertEquals(UpdateResult.EMPTY_SNAPSHOT, store.apply("eu", snapshot(1, 11)));
        assertEquals(UpdateResult.EMPTY_SNAPSHOT, store.apply("eu", snapshot(1, 11, new Entry("a", true, "removed"))));
        assertEquals(at(1, 10), store.versions());
    }

    @Test
    void olderSnapshotOfTheSameEpochIsRejected() {
        store.apply("eu", snapshot(1, 10, entry("a", "2")));
        assertEquals(UpdateResult.STALE, store.apply("eu", snapshot(1, 9, entry("a", "1"))));
        assertEquals(List.of(entry("a", "2")), store.snapshot());
        assertEquals(List.of(), store.changedEntries());
    }

    @Test
    void unreachableSourceKeepsItsEntriesWhileOthersChange() {
        EndpointStore two = new EndpointStore(List.of("eu", "us"), 100);
        two.apply("eu", snapshot(1, 10, entry("a", "1")));
        assertEquals(
                CatchUp.INCOMPLETE, two.catchUp(VersionVector.NONE), "a snapshot would remove the endpoints of us");
        VersionVector known = VersionVector.parse("eu:1.10,us:1.70");
        assertEquals(CatchUp.DELTA, two.catchUp(known), "deltas of the known source are still served");
        assertEquals(CatchUp.INCOMPLETE, two.catchUp(VersionVector.parse("eu:1.3,us:1.70")));
        two.apply("eu", delta(1, 11, entry("a", "2")));
        assertEquals(List.of("a"), uids(two.changesSince(known)));
        assertEquals("eu:1.11", two.versions().toString(), "no version for us");
        two.apply("us", snapshot(1, 70, entry("x", "1")));
        assertTrue(two.isComplete());
        assertEquals(List.of("a", "x"), uids(two.snapshot()));
        assertEquals(
                List.of("x"),
                uids(two.changesSince(at(1, 11))),
                "all entries of a source that the follower does not know");
        assertEquals(CatchUp.AHEAD, two.catchUp(VersionVector.parse("eu:1.3,us:1.71")), "ahead for one source");
    }

    @Test
    void tombstoneIsValidJsonForAnyUid() {
        assertEquals(
                "{\"uid\":\"a\\u0022\\u005c\\u000a\",\"state\":\"DELETED\"}",
                Entry.tombstone("a\"\\\n").json());
    }

    @Test
    void simultaneousChangesOfAWholeZoneAreOneDelta() {
        Entry[] all = IntStream.range(0, 440).mapToObj(i -> entry("s" + i, "1")).toArray(Entry[]::new);
        Entry[] drained =
                IntStream.range(0, 440).mapToObj(i -> entry("s" + i, "2")).toArray(Entry[]::new);
        EndpointStore large = new EndpointStore(List.of("eu"), 1_000);
        large.apply("eu", snapshot(1, 1, all));
        large.apply("eu", delta(1, 2, drained));
        assertEquals(440, large.changesSince(at(1, 1)).size());
        assertFalse(large.changesSince(at(1, 1)).contains(entry("s1", "1")));
    }
}
