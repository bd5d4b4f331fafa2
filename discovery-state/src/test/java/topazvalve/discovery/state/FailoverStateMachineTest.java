package topazvalve.discovery.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import topazvalve.discovery.state.FailoverStateMachine.Connect;
import topazvalve.discovery.state.FailoverStateMachine.Remain;

/** Tests which peer a follower connects to, and when. */
class FailoverStateMachineTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private final FailoverStateMachine failover = new FailoverStateMachine(3, new Random(1));

    @Test
    void failsOverToTheNextPeerWithoutDelay() {
        assertEquals(new Connect(0, 0), failover.start());
        assertEquals(new Connect(1, 0), failover.failed());
        assertEquals(new Connect(2, 0), failover.failed());
    }

    @Test
    void backsOffExponentiallyUpToTheMaximumOnceAllPeersHaveFailed() {
        failover.start();
        long longestDelay = 0;
        for (int round = 0; round < 20; round++) {
            failover.failed();
            failover.failed();
            Connect backoff = failover.failed();
            long maximum = Math.min(
                    FailoverStateMachine.INITIAL_BACKOFF_NANOS << round, FailoverStateMachine.MAX_BACKOFF_NANOS);
            assertTrue(backoff.delayNanos() >= maximum / 2 && backoff.delayNanos() <= maximum, "round " + round);
            longestDelay = Math.max(longestDelay, backoff.delayNanos());
            failover.connecting();
        }
        assertTrue(longestDelay > FailoverStateMachine.MAX_BACKOFF_NANOS / 2);
    }

    @Test
    void responseResetsTheFailureCount() {
        failover.start();
        failover.failed();
        failover.failed();
        failover.responded();
        assertTrue(failover.isFollowing());
        assertEquals(new Connect(0, 0), failover.failed(), "a new round starts with the next peer");
        assertEquals(new Connect(1, 0), failover.failed());
    }

    @Test
    void respectsRetryAfterUpToItsMaximum() {
        failover.start();
        failover.failed(NANOS_PER_SECOND);
        failover.failed(0);
        Connect backoff = failover.failed(0);
        assertTrue(backoff.delayNanos() >= NANOS_PER_SECOND
                && backoff.delayNanos() <= NANOS_PER_SECOND + FailoverStateMachine.INITIAL_BACKOFF_NANOS);
        failover.connecting();
        failover.failed(3600 * NANOS_PER_SECOND);
        failover.failed();
        assertTrue(failover.failed().delayNanos()
                <= FailoverStateMachine.MAX_RETRY_AFTER_NANOS + FailoverStateMachine.MAX_BACKOFF_NANOS);
    }

    @Test
    void failsBackToTheFirstPeerOnlyWhileFollowingAnother() {
        failover.start();
        assertInstanceOf(Remain.class, failover.failback(), "still connecting");
        failover.responded();
        assertInstanceOf(Remain.class, failover.failback(), "already follows the first peer");
        failover.failed();
        failover.responded();
        assertEquals(new Connect(0, 0), failover.failback());
        failover.failedBack();
        assertEquals(0, failover.currentIndex());
        assertTrue(failover.isFollowing());
        assertFalse(failover.failback() instanceof Connect);
    }

    @Test
    void failbackDelaysAreSpreadOverAMinute() {
        long shortest = Long.MAX_VALUE;
        long longest = 0;
        for (int i = 0; i < 1_000; i++) {
            long delay = failover.failbackDelayNanos();
            shortest = Math.min(shortest, delay);
            longest = Math.max(longest, delay);
        }
        assertTrue(shortest >= 60 * NANOS_PER_SECOND && shortest < 62 * NANOS_PER_SECOND);
        assertTrue(longest <= 120 * NANOS_PER_SECOND && longest > 118 * NANOS_PER_SECOND);
    }
}
