package topazvalve.decisions;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.decisions.Recorder.MS;
import static topazvalve.decisions.Recorder.REPEATABLE;
import static topazvalve.decisions.Recorder.settings;
import static topazvalve.decisions.Recorder.upstream;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import topazvalve.decisions.Balancer.ListKind;
import topazvalve.decisions.Balancer.State;
import topazvalve.decisions.Balancer.Upstream;

/** What is harmless from one sidecar, from many that each see little. */
class FleetRulesTest {
    private static final int SIDECARS = 14;
    private static final int SERVERS = 10;
    private static final int REPLACED = 6;

    /** Sidecars that have served for 0.5 s when most of their servers are replaced by cold ones. */
    private static List<Recorder> shortlyAfterAStart() {
        List<Recorder> fleet = new ArrayList<>();
        for (int seed = 0; seed < SIDECARS; seed++) {
            Recorder host = new Recorder(settings(REPEATABLE), seed).withUpstreams(SERVERS);
            host.serve(0, 50, 0, 10 * MS);
            List<Upstream> changes = new ArrayList<>();
            for (int i = 0; i < REPLACED; i++) {
                changes.add(upstream(i, State.GONE, 0));
                changes.add(upstream(100 + i, State.READY, host.now));
            }
            host.rules.listChanged(host.now, ListKind.DELTA, changes);
            fleet.add(host);
        }
        return fleet;
    }

    private static long toCold(Recorder host, int since) {
        return host.sends.stream().skip(since).filter(sent -> sent.upstream() >= 100).count();
    }

    @Test
    void coldServersBearTheirPartAlsoShortlyAfterAStart() {
        long cold = 0;
        for (Recorder host : shortlyAfterAStart()) {
            int before = host.sends.size();
            host.serve(1_000, 1_150, 0, 10 * MS);
            cold += toCold(host, before);
        }
        // Six at 0.3 to 0.43 of a warm one's capacity, beside four warm ones: 31 to 39 in 100.
        double part = cold / (SIDECARS * 150.0);
        assertTrue(part > 0.2 && part < 0.45, "cold servers got " + part);
    }

    /** Rule 4's budget, for the least that a server is said to be able to do; the load is what warm ones get. */
    @Test
    void allSidecarsTogetherKeepToWhatAColdServerBears() {
        long[] cold = new long[REPLACED];
        long all = 0;
        for (Recorder host : shortlyAfterAStart()) {
            int before = host.sends.size();
            host.serve(1_000, 1_150, 0, 10 * MS);
            all += 150;
            for (int i = 0; i < REPLACED; i++) {
                cold[i] += host.sentTo(100 + i, before);
            }
        }
        // Were the fleet full with this load, a cold server could do 0.3 of a warm one's part of it.
        double bears = 0.3 * all / (SERVERS - REPLACED + 0.3 * REPLACED);
        for (long got : cold) {
            assertTrue(got < 3 * bears, got + " for a server that bears " + bears);
        }
    }
}
