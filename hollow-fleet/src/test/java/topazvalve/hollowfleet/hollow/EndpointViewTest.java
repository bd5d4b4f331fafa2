package topazvalve.hollowfleet.hollow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.hollowfleet.history.ChangeHistory;
import topazvalve.hollowfleet.history.ServerNames;
import topazvalve.hollowfleet.oracle.EntryReplacement;
import topazvalve.policy.EndpointStatus;
import topazvalve.policy.UpdateKind;

/** Updates of a sidecar's endpoint list, and the entry replacements that they report. */
class EndpointViewTest {
    private final ChangeHistory history = new ChangeHistory(3, 10);
    private final EndpointView view = new EndpointView(history);
    private final List<String> replacements = new ArrayList<>();

    private static Endpoint endpoint(int server, int change, EndpointStatus status) {
        return new Endpoint(ServerNames.nameOf(server), null, "", "", change, status, 1, 0);
    }

    private void apply(UpdateKind kind, Endpoint... endpoints) {
        replacements.clear();
        view.apply(kind, List.of(endpoints), entry -> replacements.add(describe(entry)));
    }

    private static String describe(EntryReplacement entry) {
        return entry.server() + ":" + entry.oldChange() + entry.oldStatus() + ">" + entry.newChange()
                + entry.newStatus();
    }

    @Test
    void reportsEveryReplacedEntry() {
        apply(UpdateKind.FULL, endpoint(0, 1, EndpointStatus.READY), endpoint(2, 3, EndpointStatus.DRAINING));
        assertEquals(List.of("0:0REMOVED>1READY", "2:0REMOVED>3DRAINING"), replacements);
        apply(UpdateKind.DELTA, endpoint(0, 1, EndpointStatus.READY), endpoint(2, 4, EndpointStatus.REMOVED));
        assertEquals(List.of("2:3DRAINING>4REMOVED"), replacements);
        assertEquals(1, view.listedCount());
    }

    @Test
    void serverMissingInAFullSnapshotIsRemovedWithItsRemovalChange() {
        int first = history.add(0, EndpointStatus.READY, 0);
        int other = history.add(1, EndpointStatus.READY, 0);
        int removed = history.add(0, EndpointStatus.REMOVED, 5);
        apply(UpdateKind.FULL, endpoint(0, first, EndpointStatus.READY), endpoint(1, other, EndpointStatus.READY));
        apply(UpdateKind.FULL);
        assertEquals(List.of("0:1READY>" + removed + "REMOVED", "1:2READY>2REMOVED"), replacements);
        assertEquals(0, view.listedCount());
    }

    @Test
    void serverRemovedWithoutAChangeIsRemovedWithItsRemovalChange() {
        int first = history.add(0, EndpointStatus.READY, 0);
        int removed = history.add(0, EndpointStatus.REMOVED, 5);
        apply(UpdateKind.FULL, endpoint(0, first, EndpointStatus.READY));
        apply(UpdateKind.DELTA, endpoint(0, 0, EndpointStatus.REMOVED));
        assertEquals(List.of("0:1READY>" + removed + "REMOVED"), replacements);
    }

    @Test
    void ignoresUnknownNames() {
        apply(
                UpdateKind.DELTA,
                new Endpoint("other", null, "", "", 1, EndpointStatus.READY, 1, 0),
                endpoint(7, 1, EndpointStatus.READY));
        assertEquals(List.of(), replacements);
    }
}
