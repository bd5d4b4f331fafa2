package topazvalve.lists;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import topazvalve.lists.Following.Ask;
import topazvalve.lists.Following.Stay;

/** Whom a follower asks and when. */
class FollowingTest {
    private static final long SECOND = 1_000_000_000L;
    private final Following following = new Following(3, new Random(1));

    @Test
    void aPlaceThatFailsIsPassedOverAtOnce() {
        assertEquals(new Ask(0, 0), following.begin());
        assertEquals(new Ask(1, 0), following.failed());
        assertEquals(new Ask(2, 0), following.failed());
    }

    @Test
    void onceAllHaveFailedItWaitsLongerAndLongerUpToABound() {
        following.begin();
        long longest = 0;
        for (int round = 0; round < 20; round++) {
            following.failed();
            following.failed();
            Ask pause = following.failed();
            long most = Math.min(Following.FIRST_PAUSE << round, Following.LONGEST_PAUSE);
            assertTrue(pause.after() >= most / 2 && pause.after() <= most, "round " + round);
            longest = Math.max(longest, pause.after());
            following.asks();
        }
        assertTrue(longest > Following.LONGEST_PAUSE / 2);
    }

    @Test
    void anAnswerForgetsWhatFailedBefore() {
        following.begin();
        following.failed();
        following.failed();
        following.answered();
        assertTrue(following.following());
        assertEquals(new Ask(0, 0), following.failed(), "the round begins anew behind who was followed");
        assertEquals(new Ask(1, 0), following.failed());
    }

    @Test
    void whoIsAskedToStayAwayDoesButNeverForLong() {
        following.begin();
        following.refused(SECOND);
        following.refused(0);
        Ask pause = following.refused(0);
        assertTrue(pause.after() >= SECOND && pause.after() <= SECOND + Following.FIRST_PAUSE);
        following.asks();
        following.refused(3600 * SECOND);
        following.failed();
        assertTrue(following.failed().after() <= Following.LONGEST_ASKED + Following.LONGEST_PAUSE);
    }

    @Test
    void itReturnsToItsFirstPlaceAndOnlyWhereItFollowsAnother() {
        following.begin();
        assertInstanceOf(Stay.class, following.mayReturn(), "still asking");
        following.answered();
        assertInstanceOf(Stay.class, following.mayReturn(), "is there already");
        following.failed();
        following.answered();
        assertEquals(new Ask(0, 0), following.mayReturn());
        following.returned();
        assertEquals(0, following.place());
        assertTrue(following.following());
        assertFalse(following.mayReturn() instanceof Ask);
    }

    @Test
    void returnsAreSpreadOverAMinute() {
        long least = Long.MAX_VALUE;
        long most = 0;
        for (int i = 0; i < 1_000; i++) {
            long after = following.returnAfter();
            least = Math.min(least, after);
            most = Math.max(most, after);
        }
        assertTrue(least >= 60 * SECOND && least < 62 * SECOND);
        assertTrue(most <= 120 * SECOND && most > 118 * SECOND);
    }
}
