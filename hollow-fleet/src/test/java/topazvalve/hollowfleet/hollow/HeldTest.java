package topazvalve.hollowfleet.hollow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.hollowfleet.truth.ChangeHistory;
import topazvalve.hollowfleet.truth.Names;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.policy.LoadBalancer.UpdateKind;

class HeldTest {
    private final ChangeHistory truth = new ChangeHistory(3, 10);
    private final EndpointView held = new EndpointView(truth);
    private final List<String> told = new ArrayList<>();

    private static Endpoint entry(int server, int change, EndpointStatus state) {
        return new Endpoint(Names.of(server), null, "", "", change, state, 1, 0);
    }

    private void take(UpdateKind kind, Endpoint... targets) {
        told.clear();
        held.take(
                kind,
                List.of(targets),
                (server, before, had, now, has) -> told.add(server + ":" + before + had + ">" + now + has));
    }

    @Test
    void everyEntryThatTakesAnothersPlaceIsTold() {
        take(UpdateKind.FULL, entry(0, 1, EndpointStatus.READY), entry(2, 3, EndpointStatus.DRAINING));
        assertEquals(List.of("0:0REMOVED>1READY", "2:0REMOVED>3DRAINING"), told);
        take(UpdateKind.DELTA, entry(0, 1, EndpointStatus.READY), entry(2, 4, EndpointStatus.REMOVED));
        assertEquals(List.of("2:3DRAINING>4REMOVED"), told);
        assertEquals(1, held.present());
    }

    @Test
    void whatAWholeListLeavesOutIsGoneByTheChangeThatSaysSo() {
        int first = truth.changed(0, EndpointStatus.READY, 0);
        int other = truth.changed(1, EndpointStatus.READY, 0);
        int gone = truth.changed(0, EndpointStatus.REMOVED, 5);
        take(UpdateKind.FULL, entry(0, first, EndpointStatus.READY), entry(1, other, EndpointStatus.READY));
        take(UpdateKind.FULL);
        assertEquals(List.of("0:1READY>" + gone + "REMOVED", "1:2READY>2REMOVED"), told);
        assertEquals(0, held.present());
    }

    @Test
    void whoIsGoneWithoutAChangeIsGoneByTheOneThatSaysSo() {
        int first = truth.changed(0, EndpointStatus.READY, 0);
        int gone = truth.changed(0, EndpointStatus.REMOVED, 5);
        take(UpdateKind.FULL, entry(0, first, EndpointStatus.READY));
        take(UpdateKind.DELTA, entry(0, 0, EndpointStatus.REMOVED));
        assertEquals(List.of("0:1READY>" + gone + "REMOVED"), told);
    }

    @Test
    void namesThatAreNotOursArePassedOver() {
        take(
                UpdateKind.DELTA,
                new Endpoint("other", null, "", "", 1, EndpointStatus.READY, 1, 0),
                entry(7, 1, EndpointStatus.READY));
        assertEquals(List.of(), told);
    }
}
