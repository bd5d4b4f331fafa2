package topazvalve.lists;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import topazvalve.lists.ListState.Entry;
import topazvalve.lists.ListState.Lack;
import topazvalve.lists.ListState.Taken;
import topazvalve.lists.ListState.Update;

/** What a relay keeps, and what a follower lacks. */
class ListStateTest {
    private final ListState state = new ListState(List.of("eu"), 100);

    private static Entry entry(String uid, String line) {
        return new Entry(uid, false, line);
    }

    private static Update whole(long epoch, long rev, Entry... entries) {
        return new Update(new Version(epoch, rev), true, List.of(entries));
    }

    private static Update change(long epoch, long rev, Entry... entries) {
        return new Update(new Version(epoch, rev), false, List.of(entries));
    }

    private static Versions at(long epoch, long rev) {
        return Versions.of("eu", new Version(epoch, rev));
    }

    private static List<String> uids(List<Entry> entries) {
        return entries.stream().map(Entry::uid).toList();
    }

    @Test
    void aFollowerHearsTheNewestLineOfWhatChangedAndNotAQueue() {
        state.take("eu", whole(1, 10, entry("a", "1"), entry("b", "1")));
        state.take("eu", change(1, 11, entry("a", "2")));
        state.take("eu", change(1, 12, entry("a", "3")));
        state.take("eu", change(1, 13, new Entry("b", true, "gone")));
        assertEquals(Lack.CHANGES, state.lack(at(1, 10)));
        assertEquals(List.of(entry("a", "3"), new Entry("b", true, "gone")), state.changes(at(1, 10)));
        assertEquals(List.of("b"), uids(state.changes(at(1, 12))));
        assertEquals(List.of(), state.changes(at(1, 13)));
        assertEquals(List.of("a"), uids(state.whole()));
        assertEquals(1, state.live());
    }

    @Test
    void whoComesFromBeforeTheLogGetsTheWholeList() {
        state.take("eu", whole(1, 10, entry("a", "1")));
        assertEquals(Lack.WHOLE, state.lack(at(1, 9)));
        assertEquals(Lack.WHOLE, state.lack(Versions.NONE));
        assertEquals(Lack.CHANGES, state.lack(at(1, 10)));
    }

    @Test
    void theLogIsBoundedAndForgetsTheGone() {
        ListState small = new ListState(List.of("eu"), 3);
        small.take("eu", whole(1, 10, entry("a", "1"), entry("b", "1")));
        small.take("eu", change(1, 11, new Entry("a", true, "gone")));
        for (int i = 0; i < 4; i++) {
            small.take("eu", change(1, 12 + i, entry("b", "x" + i)));
        }
        assertEquals(Lack.WHOLE, small.lack(at(1, 10)));
        assertEquals(Lack.CHANGES, small.lack(at(1, 12)));
        assertEquals(List.of("b"), uids(small.changes(at(1, 12))));
    }

    /** A relay that has just begun serves changes from before its time: its source was asked for them. */
    @Test
    void whatChangedBeforeTheRelayBeganIsFilledIn() {
        state.take("eu", whole(0, 100, entry("a", "9"), entry("b", "1")));
        assertEquals(
                Taken.SAME,
                state.fill("eu", new Version(0, 50), change(0, 100, entry("a", "9"), new Entry("z", true, "gone"))));
        assertEquals(Lack.CHANGES, state.lack(at(0, 60)));
        assertEquals(List.of("a", "z"), uids(state.changes(at(0, 60))));
        assertEquals(List.of(), state.changes(at(0, 100)));
        assertEquals(Lack.WHOLE, state.lack(at(0, 49)));
    }

    @Test
    void whatChangedBetweenTheWholeListAndTheFillIsServedToo() {
        state.take("eu", whole(0, 100, entry("a", "9"), entry("b", "1")));
        assertEquals(
                Taken.CHANGED, state.fill("eu", new Version(0, 50), change(0, 102, entry("a", "9"), entry("b", "2"))));
        assertEquals(List.of("b"), uids(state.changes(at(0, 100))));
        assertEquals(List.of("a", "b"), uids(state.changes(at(0, 50))));
    }

    @Test
    void aSourceThatAnswersTheFillWithItsWholeListHasNoLogToFillFrom() {
        state.take("eu", whole(0, 100, entry("a", "9")));
        state.fill("eu", new Version(0, 50), whole(0, 100, entry("a", "9")));
        assertEquals(Lack.WHOLE, state.lack(at(0, 60)));
    }

    @Test
    void aSourceThatBeganAnewIsFollowedByWhoItNames() {
        state.take("eu", whole(1, 900, entry("a", "1"), entry("b", "1")));
        assertEquals(Taken.APART, state.take("eu", change(2, 5, entry("a", "2"))), "not by changes alone");
        assertEquals(Taken.CHANGED, state.take("eu", whole(2, 5, entry("a", "1"))));
        assertEquals(List.of("b"), uids(state.changed()), "followers hear only what that changed");
        assertEquals(List.of("b"), uids(state.changes(at(1, 900))));
        assertEquals(Taken.OLDER, state.take("eu", whole(1, 901, entry("a", "1"), entry("b", "1"))));
        assertEquals(Lack.AHEAD, state.lack(at(2, 6)));
        assertEquals(Lack.AHEAD, state.lack(at(3, 1)));
    }

    @Test
    void withoutEpochsALowerVersionCanMeanBothAndIsHeldFirst() {
        state.take("eu", whole(0, 900, entry("a", "1")));
        assertEquals(Taken.OLDER, state.take("eu", change(0, 5, entry("a", "2"))));
        assertEquals(Taken.SAME, state.take("eu", whole(0, 5, entry("a", "1"))), "it began anew");
        assertEquals(Lack.AHEAD_OR_ANEW, state.lack(at(0, 900)));
        assertEquals(Lack.CHANGES, state.lack(at(0, 5)));
        assertEquals(Lack.WHOLE, state.lack(at(0, 4)));
        assertEquals(Lack.AHEAD_OR_ANEW, state.lack(at(7, 5)), "a known life against one that is not");
    }

    @Test
    void aListOfNobodyIsNotBelieved() {
        state.take("eu", whole(1, 10, entry("a", "1")));
        assertEquals(Taken.EMPTY, state.take("eu", whole(1, 11)));
        assertEquals(Taken.EMPTY, state.take("eu", whole(1, 11, new Entry("a", true, "gone"))));
        assertEquals(at(1, 10), state.versions());
    }

    @Test
    void anOlderWholeListOfTheSameLifeIsNotTaken() {
        state.take("eu", whole(1, 10, entry("a", "2")));
        assertEquals(Taken.OLDER, state.take("eu", whole(1, 9, entry("a", "1"))));
        assertEquals(List.of(entry("a", "2")), state.whole());
        assertEquals(List.of(), state.changed());
    }

    @Test
    void aCutRegionKeepsItsEntriesAndTheOthersGoOn() {
        ListState two = new ListState(List.of("eu", "us"), 100);
        two.take("eu", whole(1, 10, entry("a", "1")));
        assertEquals(Lack.INCOMPLETE, two.lack(Versions.NONE), "a whole list would let us vanish");
        Versions has = Versions.parse("eu:1.10,us:1.70");
        assertEquals(Lack.CHANGES, two.lack(has), "but changes of the source that is heard go on");
        assertEquals(Lack.INCOMPLETE, two.lack(Versions.parse("eu:1.3,us:1.70")));
        two.take("eu", change(1, 11, entry("a", "2")));
        assertEquals(List.of("a"), uids(two.changes(has)));
        assertEquals("eu:1.11", two.versions().toString(), "and nothing is said of us");
        two.take("us", whole(1, 70, entry("x", "1")));
        assertTrue(two.complete());
        assertEquals(List.of("a", "x"), uids(two.whole()));
        assertEquals(List.of("x"), uids(two.changes(at(1, 11))), "all of a source not known to the follower");
        assertEquals(Lack.AHEAD, two.lack(Versions.parse("eu:1.3,us:1.71")), "ahead at one of them");
    }

    @Test
    void aGoneServersLineIsAnObjectWhateverItsName() {
        assertEquals(
                "{\"uid\":\"a\\u0022\\u005c\\u000a\",\"state\":\"DELETED\"}",
                ListState.gone("a\"\\\n").json());
    }

    @Test
    void aZonesServersInOneChangeAreOneAnswer() {
        Entry[] all = IntStream.range(0, 440).mapToObj(i -> entry("s" + i, "1")).toArray(Entry[]::new);
        Entry[] drained =
                IntStream.range(0, 440).mapToObj(i -> entry("s" + i, "2")).toArray(Entry[]::new);
        ListState large = new ListState(List.of("eu"), 1_000);
        large.take("eu", whole(1, 1, all));
        large.take("eu", change(1, 2, drained));
        assertEquals(440, large.changes(at(1, 1)).size());
        assertFalse(large.changes(at(1, 1)).contains(entry("s1", "1")));
    }
}
