package topazvalve.hollowfleet.oracle;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import topazvalve.hollowfleet.truth.ChangeHistory;
import topazvalve.policy.LoadBalancer.EndpointStatus;

/** Each rule with a fault that breaks it and no other, and what is no fault. */
class FleetOracleTest {
    private static final long SECOND = 1_000_000_000L;
    private final ChangeHistory truth = new ChangeHistory(2, 10);
    private final FleetOracle oracle = new FleetOracle(truth, new Allowed(9 * SECOND, 6_000, 60));
    private final int serving = truth.changed(0, EndpointStatus.READY, 0);
    private final int draining = truth.changed(0, EndpointStatus.DRAINING, SECOND);
    private final int gone = truth.changed(0, EndpointStatus.REMOVED, 2 * SECOND);
    private final int back = truth.changed(0, EndpointStatus.READY, 20 * SECOND);

    @Test
    void anOlderEntryInTheNewerOnesPlaceWentBack() {
        oracle.replaced(1, 0, gone, EndpointStatus.REMOVED, draining, EndpointStatus.DRAINING, 3 * SECOND);
        assertEquals(Map.of(Rule.WENT_BACK, 1), oracle.counts());
    }

    @Test
    void whoIsDrainedAndReadyByAnOlderEntryReturned() {
        oracle.replaced(1, 0, draining, EndpointStatus.DRAINING, serving, EndpointStatus.READY, 3 * SECOND);
        assertEquals(Map.of(Rule.RETURNED, 1), oracle.counts());
    }

    @Test
    void whoIsGoneAndReadyUnderTheSameChangeReturned() {
        oracle.replaced(1, 0, gone, EndpointStatus.REMOVED, gone, EndpointStatus.READY, 3 * SECOND);
        assertEquals(Map.of(Rule.RETURNED, 1), oracle.counts());
    }

    @Test
    void newerEntriesAndTheSourcesOwnReturnsAreNoFault() {
        oracle.replaced(1, 0, 0, EndpointStatus.REMOVED, serving, EndpointStatus.READY, 0);
        oracle.replaced(1, 0, serving, EndpointStatus.READY, gone, EndpointStatus.REMOVED, 3 * SECOND);
        oracle.replaced(1, 0, gone, EndpointStatus.REMOVED, back, EndpointStatus.READY, 20 * SECOND);
        assertEquals(Map.of(), oracle.counts());
    }

    @Test
    void whatIsDueIsTheNewestChangeThatIsOldEnough() {
        assertArrayEquals(new int[] {gone, 0}, oracle.due(28 * SECOND, server -> 1));
        assertArrayEquals(new int[] {back, 0}, oracle.due(29 * SECOND, server -> 1));
        assertArrayEquals(new int[] {0, 0}, oracle.due(29 * SECOND, server -> 0));
        assertFalse(oracle.inForce(gone, draining, EndpointStatus.DRAINING));
        assertFalse(oracle.inForce(back, back, EndpointStatus.REMOVED), "left out of a whole list");
        assertTrue(
                oracle.inForce(gone, gone, EndpointStatus.REMOVED) && oracle.inForce(gone, back, EndpointStatus.READY));
        oracle.late(1, gone, 1, 12 * SECOND);
        assertEquals(Map.of(Rule.CHANGE_LATE, 1), oracle.counts());
    }

    @Test
    void aSecondWithMoreCallsThanCanBeDoneCountsOnce() {
        for (int i = 1; i <= 9; i++) {
            oracle.called("source 0", i, 4.5, 0);
            oracle.called("source 1", i, 0, 0);
        }
        assertEquals(Map.of(Rule.SERVING_RATE, 1), oracle.counts());
    }

    @Test
    void bytesCountByTheirAverageOverTheWindow() {
        assertFalse(oracle.bytes(1, 360_000, 0));
        assertTrue(oracle.bytes(1, 360_001, 0));
        assertEquals(Map.of(Rule.CONTROL_BYTES, 1), oracle.counts());
    }
}
