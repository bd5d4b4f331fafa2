package topazvalve.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.policy.RecordingHost.IDEMPOTENT;
import static topazvalve.policy.RecordingHost.MS;
import static topazvalve.policy.RecordingHost.settings;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how soon many sidecars are notified after a discovery service that was down is available again. */
class DiscoveryRecoveryTest {
    /** A stand-in for discovery that is down at first, and then answers a number of calls per second in order. */
    private static final class DiscoveryStandIn {
        private static final long STEP = 10 * MS;
        private static final long MAX_CALL_TIME = 2_000 * MS;

        private final List<RecordingHost> fleet = new ArrayList<>();
        private final List<Integer> watchesSeen = new ArrayList<>();
        private final List<Call> outstanding = new ArrayList<>();
        private final List<Long> notifiedAt = new ArrayList<>();
        private final long timePerCall;
        private final long callTimeout;
        private final long downUntil;
        private long nextFreeAt;

        private record Call(int sidecar, long endsAt, boolean answered) {}

        /** Creates a service; while it is down, a call fails after the timeout, or at once if that is 0. */
        DiscoveryStandIn(int sidecars, int perSecond, long downTime, long callTimeout, long seed) {
            for (int i = 0; i < sidecars; i++) {
                fleet.add(new RecordingHost(settings(DiscoveryMode.SUBSCRIBE, IDEMPOTENT), seed * 1_000 + i)
                        .withEndpoints(1));
                watchesSeen.add(0);
                notifiedAt.add(-1L);
            }
            this.timePerCall = 1_000 * MS / perSecond;
            this.callTimeout = callTimeout;
            this.downUntil = fleet.get(0).now + downTime;
            this.nextFreeAt = downUntil;
        }

        /** Runs until all sidecars are notified; returns the sorted times in seconds since the service's return. */
        List<Double> runUntilAllNotified() {
            long now = fleet.get(0).now;
            while (notifiedAt.contains(-1L)) {
                for (int i = 0; i < fleet.size(); i++) {
                    RecordingHost host = fleet.get(i);
                    host.advance(now - host.now);
                    if (host.watchCount > watchesSeen.get(i)) {
                        watchesSeen.set(i, host.watchCount);
                        call(now, i);
                    }
                }
                long until = now;
                List<Call> ended = outstanding.stream()
                        .filter(call -> call.endsAt <= until)
                        .toList();
                outstanding.removeAll(ended);
                for (Call call : ended) {
                    notifiedAt.set(call.sidecar, call.answered ? now - downUntil : notifiedAt.get(call.sidecar));
                    fleet.get(call.sidecar)
                            .policy
                            .endpointsUpdated(now, call.answered ? UpdateKind.DELTA : UpdateKind.FAILED, List.of());
                }
                now += STEP;
            }
            return notifiedAt.stream().sorted().map(time -> time / 1e9).toList();
        }

        private void call(long now, int sidecar) {
            long startsAt = Math.max(now, nextFreeAt);
            if (now < downUntil) {
                outstanding.add(new Call(sidecar, now + callTimeout, false));
            } else if (startsAt + timePerCall - now > MAX_CALL_TIME) {
                outstanding.add(new Call(sidecar, now + MAX_CALL_TIME, false));
            } else {
                nextFreeAt = startsAt + timePerCall;
                outstanding.add(new Call(sidecar, nextFreeAt, true));
            }
        }
    }

    /**
     * After an outage in which connections were refused, timed out, or calls hung, each sidecar is notified within 6 s
     * of discovery's return, as long as the service can answer that many calls.
     */
    @ParameterizedTest
    @CsvSource({"14000, 0, 3", "14000, 1000, 3", "2000, 2500, 2"})
    void sidecarsAreNotifiedWithinSixSecondsOfDiscoverysReturn(long downMs, long hangMs, int seconds) {
        for (int seed = 0; seed < 20; seed++) {
            for (int perSecond : new int[] {3, 5}) {
                List<Double> notifiedAt = new DiscoveryStandIn(
                                seconds * perSecond, perSecond, downMs * MS, hangMs * MS, seed)
                        .runUntilAllNotified();
                assertTrue(
                        notifiedAt.get(notifiedAt.size() - 1) <= 6, perSecond + "/s, seed " + seed + ": " + notifiedAt);
            }
        }
    }

    /** With more callers than it can answer, it is hardly ever idle: no sidecar could be notified much sooner. */
    @Test
    void overloadedDiscoveryIsHardlyIdle() {
        for (int seed = 0; seed < 5; seed++) {
            for (int sidecars : new int[] {100, 300}) {
                DiscoveryStandIn discovery = new DiscoveryStandIn(sidecars, 5, 14_000 * MS, 0, seed);
                List<Double> notifiedAt = discovery.runUntilAllNotified();
                assertTrue(
                        notifiedAt.stream().filter(time -> time <= 6).count() >= 28,
                        "of at most 30 in 6 s: " + notifiedAt);
                assertTrue(notifiedAt.get(notifiedAt.size() - 1) <= sidecars / 5 + 2, sidecars + ": " + notifiedAt);
            }
        }
    }
}
