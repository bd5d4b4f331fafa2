package topazvalve.hollowfleet.oracle;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import topazvalve.hollowfleet.history.ChangeHistory;
import topazvalve.policy.EndpointStatus;

/** Each rule is violated by its own fault and by no other; legal updates violate no rule. */
class FleetOracleTest {
    private static final long SECOND = 1_000_000_000L;
    private final ChangeHistory history = new ChangeHistory(2, 10);
    private final FleetOracle oracle = new FleetOracle(history, new FleetBudget(9 * SECOND, 6_000, 60));
    private final int ready = history.add(0, EndpointStatus.READY, 0);
    private final int draining = history.add(0, EndpointStatus.DRAINING, SECOND);
    private final int removed = history.add(0, EndpointStatus.REMOVED, 2 * SECOND);
    private final int readyAgain = history.add(0, EndpointStatus.READY, 20 * SECOND);

    private void replaced(
            int oldChange, EndpointStatus oldStatus, int newChange, EndpointStatus newStatus, long nowNanos) {
        oracle.entryReplaced(1, new EntryReplacement(0, oldChange, oldStatus, newChange, newStatus), nowNanos);
    }

    @Test
    void reportsAnEntryReplacedByAnOlderOne() {
        replaced(removed, EndpointStatus.REMOVED, draining, EndpointStatus.DRAINING, 3 * SECOND);
        assertEquals(Map.of(Rule.WENT_BACK, 1), oracle.counts());
    }

    @Test
    void reportsADrainingServerThatAnOlderChangeMadeReady() {
        replaced(draining, EndpointStatus.DRAINING, ready, EndpointStatus.READY, 3 * SECOND);
        assertEquals(Map.of(Rule.RETURNED, 1), oracle.counts());
    }

    @Test
    void reportsARemovedServerThatTheSameChangeMadeReady() {
        replaced(removed, EndpointStatus.REMOVED, removed, EndpointStatus.READY, 3 * SECOND);
        assertEquals(Map.of(Rule.RETURNED, 1), oracle.counts());
    }

    @Test
    void acceptsNewerEntriesAndServersThatTheSourceMadeReadyAgain() {
        replaced(0, EndpointStatus.REMOVED, ready, EndpointStatus.READY, 0);
        replaced(ready, EndpointStatus.READY, removed, EndpointStatus.REMOVED, 3 * SECOND);
        replaced(removed, EndpointStatus.REMOVED, readyAgain, EndpointStatus.READY, 20 * SECOND);
        assertEquals(Map.of(), oracle.counts());
    }

    @Test
    void requiresTheNewestChangeOlderThanTheAllowedDelay() {
        assertArrayEquals(new int[] {removed, 0}, oracle.requiredChanges(28 * SECOND, server -> true));
        assertArrayEquals(new int[] {readyAgain, 0}, oracle.requiredChanges(29 * SECOND, server -> true));
        assertArrayEquals(new int[] {0, 0}, oracle.requiredChanges(29 * SECOND, server -> false));
        assertFalse(oracle.isApplied(removed, draining, EndpointStatus.DRAINING));
        assertFalse(oracle.isApplied(readyAgain, readyAgain, EndpointStatus.REMOVED), "missing in a full snapshot");
        assertTrue(oracle.isApplied(removed, removed, EndpointStatus.REMOVED)
                && oracle.isApplied(removed, readyAgain, EndpointStatus.READY));
        oracle.changesMissing(1, removed, 1, 12 * SECOND);
        assertEquals(Map.of(Rule.CHANGE_LATE, 1), oracle.counts());
    }

    @Test
    void reportsASecondWithTooManyCallsOnce() {
        for (int i = 1; i <= 9; i++) {
            oracle.callReceived("source 0", i, 4.5, 0);
            oracle.callReceived("source 1", i, 0, 0);
        }
        assertEquals(Map.of(Rule.SERVING_RATE, 1), oracle.counts());
    }

    @Test
    void averagesBytesOverTheWindow() {
        assertFalse(oracle.trafficMeasured(1, 360_000, 0));
        assertTrue(oracle.trafficMeasured(1, 360_001, 0));
        assertEquals(Map.of(Rule.CONTROL_BYTES, 1), oracle.counts());
    }
}
