package topazvalve.discovery.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import topazvalve.discovery.state.FailoverStateMachine.Connect;
import topazvalve.discovery.state.FailoverStateMachine.Remain;

/** Whom a follower asks and when. */
class FollowingTest {
    private static final long SECOND = 1_000_000_000L;
    private final FailoverStateMachine following = new FailoverStateMachine(3, new Random(1));

    @Test
    void aPlaceThatFailsIsPassedOverAtOnce() {
        assertEquals(new Connect(0, 0), following.start());
        assertEquals(new Connect(1, 0), following.failed());
        assertEquals(new Connect(2, 0), following.failed());
    }

    @Test
    void onceAllHaveFailedItWaitsLongerAndLongerUpToABound() {
        following.start();
        long longest = 0;
        for (int round = 0; round < 20; round++) {
            following.failed();
            following.failed();
            Connect pause = following.failed();
            long most = Math.min(
                    FailoverStateMachine.INITIAL_BACKOFF_NANOS << round, FailoverStateMachine.MAX_BACKOFF_NANOS);
            assertTrue(pause.delayNanos() >= most / 2 && pause.delayNanos() <= most, "round " + round);
            longest = Math.max(longest, pause.delayNanos());
            following.connecting();
        }
        assertTrue(longest > FailoverStateMachine.MAX_BACKOFF_NANOS / 2);
    }

    @Test
    void anAnswerForgetsWhatFailedBefore() {
        following.start();
        following.failed();
        following.failed();
        following.answered();
        assertTrue(following.isFollowing());
        assertEquals(new Connect(0, 0), following.failed(), "the round begins anew behind who was followed");
        assertEquals(new Connect(1, 0), following.failed());
    }

    @Test
    void whoIsAskedToStayAwayDoesButNeverForLong() {
        following.start();
        following.rejected(SECOND);
        following.rejected(0);
        Connect pause = following.rejected(0);
        assertTrue(pause.delayNanos() >= SECOND
                && pause.delayNanos() <= SECOND + FailoverStateMachine.INITIAL_BACKOFF_NANOS);
        following.connecting();
        following.rejected(3600 * SECOND);
        following.failed();
        assertTrue(following.failed().delayNanos()
                <= FailoverStateMachine.MAX_RETRY_AFTER_NANOS + FailoverStateMachine.MAX_BACKOFF_NANOS);
    }

    @Test
    void itReturnsToItsFirstPlaceAndOnlyWhereItFollowsAnother() {
        following.start();
        assertInstanceOf(Remain.class, following.failback(), "still asking");
        following.answered();
        assertInstanceOf(Remain.class, following.failback(), "is there already");
        following.failed();
        following.answered();
        assertEquals(new Connect(0, 0), following.failback());
        following.failedBack();
        assertEquals(0, following.currentIndex());
        assertTrue(following.isFollowing());
        assertFalse(following.failback() instanceof Connect);
    }

    @Test
    void returnsAreSpreadOverAMinute() {
        long least = Long.MAX_VALUE;
        long most = 0;
        for (int i = 0; i < 1_000; i++) {
            long after = following.failbackDelayNanos();
            least = Math.min(least, after);
            most = Math.max(most, after);
        }
        assertTrue(least >= 60 * SECOND && least < 62 * SECOND);
        assertTrue(most <= 120 * SECOND && most > 118 * SECOND);
    }
}
