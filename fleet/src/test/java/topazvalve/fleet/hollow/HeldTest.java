package topazvalve.fleet.hollow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import topazvalve.core.servers.Target;
import topazvalve.decisions.Balancer.ListKind;
import topazvalve.decisions.Balancer.State;
import topazvalve.fleet.truth.Names;
import topazvalve.fleet.truth.Truth;

class HeldTest {
    private final Truth truth = new Truth(3, 10);
    private final Held held = new Held(truth);
    private final List<String> told = new ArrayList<>();

    private static Target entry(int server, int change, State state) {
        return new Target(Names.of(server), null, "", "", change, state, 1, 0);
    }

    private void take(ListKind kind, Target... targets) {
        told.clear();
        held.take(
                kind,
                List.of(targets),
                (server, before, had, now, has) -> told.add(server + ":" + before + had + ">" + now + has));
    }

    @Test
    void everyEntryThatTakesAnothersPlaceIsTold() {
        take(ListKind.FULL, entry(0, 1, State.READY), entry(2, 3, State.DRAINING));
        assertEquals(List.of("0:0GONE>1READY", "2:0GONE>3DRAINING"), told);
        take(ListKind.DELTA, entry(0, 1, State.READY), entry(2, 4, State.GONE));
        assertEquals(List.of("2:3DRAINING>4GONE"), told);
        assertEquals(1, held.present());
    }

    @Test
    void whatAWholeListLeavesOutIsGoneByTheChangeThatSaysSo() {
        int first = truth.changed(0, State.READY, 0);
        int other = truth.changed(1, State.READY, 0);
        int gone = truth.changed(0, State.GONE, 5);
        take(ListKind.FULL, entry(0, first, State.READY), entry(1, other, State.READY));
        take(ListKind.FULL);
        assertEquals(List.of("0:1READY>" + gone + "GONE", "1:2READY>2GONE"), told);
        assertEquals(0, held.present());
    }

    @Test
    void whoIsGoneWithoutAChangeIsGoneByTheOneThatSaysSo() {
        int first = truth.changed(0, State.READY, 0);
        int gone = truth.changed(0, State.GONE, 5);
        take(ListKind.FULL, entry(0, first, State.READY));
        take(ListKind.DELTA, entry(0, 0, State.GONE));
        assertEquals(List.of("0:1READY>" + gone + "GONE"), told);
    }

    @Test
    void namesThatAreNotOursArePassedOver() {
        take(ListKind.DELTA, new Target("other", null, "", "", 1, State.READY, 1, 0), entry(7, 1, State.READY));
        assertEquals(List.of(), told);
    }
}
