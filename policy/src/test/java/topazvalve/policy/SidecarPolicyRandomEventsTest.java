package topazvalve.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.policy.RecordingHost.MS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Long random sequences of valid events; an independent observer checks every action. */
class SidecarPolicyRandomEventsTest {
    private static final long DEADLINE = 1_000 * MS;
    private static final long SLACK = 20 * MS;
    private static final List<RequestClass> CLASSES = List.of(
            RecordingHost.IDEMPOTENT,
            RecordingHost.NON_IDEMPOTENT,
            RecordingHost.KEY_PER_CELL,
            RecordingHost.KEY_EVERYWHERE,
            RecordingHost.requestClass(Idempotency.IDEMPOTENCY_KEY, KeyScope.ZONE));

    private static final class ObservedRequest {
        final RequestClass kind;
        final long deadline;
        final List<RecordingHost.SentAttempt> sent = new ArrayList<>();
        final Map<Integer, Outcome> ended = new HashMap<>();
        int answers;

        ObservedRequest(RequestClass kind, long deadline) {
            this.kind = kind;
            this.deadline = deadline;
        }

        boolean mayHaveRun(int attempt) {
            Outcome outcome = ended.get(attempt);
            return outcome == null || !outcome.provesNeverRan();
        }
    }

    private final Map<Long, ObservedRequest> observed = new HashMap<>();
    private final Map<Long, EndpointStatus> states = new HashMap<>();
    private final Set<Integer> checkedAttempts = new HashSet<>();
    private final List<Long> outstandingProbes = new ArrayList<>();
    private int probes;
    private int logPosition;
    private RecordingHost host;

    /** Reads the actions since the last event and checks each against the rules. */
    private void check() {
        int attemptsSeen = checkedAttempts.size();
        for (; logPosition < host.log.size(); logPosition++) {
            String[] action = host.log.get(logPosition).split(" ");
            switch (action[0]) {
                case "send" -> {
                    RecordingHost.SentAttempt sent = host.attempts.get(attemptsSeen);
                    checkedAttempts.add(attemptsSeen++);
                    checkAttempt(sent);
                }
                case "probe" -> {
                    outstandingProbes.add(Long.parseLong(action[1]));
                    probes++;
                }
                case "reject", "fail" -> checkAnswer(action[0], Long.parseLong(action[1]));
                default -> {}
            }
        }
    }

    private void checkAttempt(RecordingHost.SentAttempt sent) {
        ObservedRequest observedRequest = observed.get(sent.request());
        assertEquals(0, observedRequest.answers, "sent after its end: " + sent);
        assertEquals(EndpointStatus.READY, states.get(sent.endpoint()), "not ready: " + sent);
        assertTrue(observedRequest.sent.size() < 3, "more than the maximum of attempts: " + sent);
        RecordingHost.SentAttempt firstThatMayHaveRun = null;
        for (RecordingHost.SentAttempt earlier : observedRequest.sent) {
            if (firstThatMayHaveRun == null && observedRequest.mayHaveRun(earlier.attempt())) {
                firstThatMayHaveRun = earlier;
            }
        }
        if (firstThatMayHaveRun != null) {
            assertTrue(
                    observedRequest.kind.idempotency() != Idempotency.NON_IDEMPOTENT,
                    "non-idempotent request retried: " + sent);
            if (observedRequest.kind.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
                assertTrue(
                        sent.at() < firstThatMayHaveRun.at() + observedRequest.kind.keyTtlNanos(),
                        "key expired: " + sent);
                long a = firstThatMayHaveRun.endpoint();
                long b = sent.endpoint();
                switch (observedRequest.kind.keyScope()) {
                    case ZONE -> assertEquals(a % 2, b % 2, "zone: " + sent);
                    case CELL -> assertEquals(a / 3, b / 3, "cell: " + sent);
                    default -> {}
                }
            }
        }
        observedRequest.sent.add(sent);
    }

    private void checkAnswer(String answer, long id) {
        ObservedRequest observedRequest = observed.get(id);
        assertEquals(1, ++observedRequest.answers, "answered twice: " + id);
        assertTrue(host.now <= observedRequest.deadline + SLACK, "late answer: " + id);
        boolean mayHaveRun = observedRequest.sent.stream().anyMatch(s -> observedRequest.mayHaveRun(s.attempt()));
        boolean harmless = !mayHaveRun
                || observedRequest.kind.idempotency() == Idempotency.IDEMPOTENT
                || (observedRequest.kind.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && observedRequest.kind.keyScope() == KeyScope.ALL);
        assertTrue(answer.equals("fail") || harmless, "rejected though it may have run: " + id);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void actionsKeepTheRules(long seed) {
        play(seed, RecordingHost.settings(CLASSES.toArray(new RequestClass[0])));
        assertTrue(outstandingProbes.isEmpty(), "no health check is allowed");
    }

    /** Probes are answered at once, late, with a failure, with a short report or never. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18})
    void actionsKeepTheRulesWithLoadProbing(long seed) {
        play(seed, RecordingHost.loadProbingSettings(500, CLASSES.toArray(new RequestClass[0])));
        assertTrue(probes > 100, "health checks: " + probes);
    }

    private void answerProbes(Random random) {
        while (!outstandingProbes.isEmpty() && random.nextInt(6) > 0) {
            long endpoint = outstandingProbes.remove(random.nextInt(outstandingProbes.size()));
            if (random.nextInt(20) > 0) {
                Outcome outcome = random.nextInt(10) > 0 ? Outcome.OK : Outcome.TIMEOUT;
                float[] load = random.nextInt(20) == 0 ? new float[0] : new float[] {0, random.nextInt(4)};
                host.policy.healthCheckCompleted(host.now, endpoint, outcome, MS, load);
                check();
            }
        }
    }

    private void play(long seed, Settings settings) {
        Random random = new Random(seed);
        host = new RecordingHost(settings, seed);
        int endpoints = 1 + random.nextInt(12);
        List<EndpointInfo> first = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            first.add(RecordingHost.endpoint(i));
            states.put((long) i, EndpointStatus.READY);
        }
        host.policy.endpointsUpdated(host.now, UpdateKind.CACHED, first);
        List<RecordingHost.SentAttempt> out = new ArrayList<>();
        int collected = 0;
        long nextId = 0;
        for (int step = 0; step < 6_000; step++) {
            int what = random.nextInt(100);
            if (what < 40) {
                long timeLeft = random.nextInt(10) == 0 ? random.nextInt(30) * MS : DEADLINE;
                int kind = random.nextInt(CLASSES.size());
                observed.put(nextId, new ObservedRequest(CLASSES.get(kind), host.now + timeLeft));
                host.request(nextId++, kind, timeLeft);
            } else if (what < 70 && !out.isEmpty()) {
                end(out.remove(random.nextInt(out.size())), random);
            } else if (what < 72) {
                change(random, endpoints);
            } else if (what < 73 && nextId > 0) {
                long id = nextId - 1 - random.nextInt((int) Math.min(nextId, 20));
                if (observed.get(id).answers == 0) {
                    observed.get(id).answers++;
                    host.policy.clientDisconnected(host.now, id);
                }
            } else {
                tick(random.nextInt(8));
            }
            check();
            answerProbes(random);
            while (collected < host.attempts.size()) {
                out.add(host.attempts.get(collected++));
            }
            for (int i = out.size() - 1; i >= 0; i--) {
                if (host.now >= observed.get(out.get(i).request()).deadline) {
                    RecordingHost.SentAttempt sent = out.remove(i);
                    finish(sent, Outcome.TIMEOUT);
                }
            }
            check();
        }
        tick(3_000);
        check();
        observed.forEach((id, observedRequest) -> assertEquals(1, observedRequest.answers, "answers of " + id));
        assertTrue(nextId > 2_000, "the sequence was long");
    }

    /** Advances in steps of the clock's resolution, as a host with a batch clock does. */
    private void tick(int millis) {
        for (int passed = 0; passed < millis; passed += 5) {
            host.advance(5 * MS);
            check();
        }
    }

    private void end(RecordingHost.SentAttempt sent, Random random) {
        int draw = random.nextInt(10);
        finish(sent, draw < 6 ? Outcome.OK : Outcome.values()[random.nextInt(Outcome.values().length)]);
    }

    private void finish(RecordingHost.SentAttempt sent, Outcome outcome) {
        ObservedRequest observedRequest = observed.get(sent.request());
        boolean already = observedRequest.answers > 0;
        observedRequest.ended.put(sent.attempt(), outcome);
        if (outcome == Outcome.OK && !already) {
            observedRequest.answers++;
        }
        host.policy.attemptCompleted(
                host.now,
                new AttemptResult(
                        sent.request(),
                        sent.attempt(),
                        sent.endpoint(),
                        outcome,
                        host.now - sent.at(),
                        already || outcome == Outcome.OK),
                new float[0]);
        check();
    }

    private void change(Random random, int endpoints) {
        long id = random.nextInt(endpoints);
        EndpointStatus state = EndpointStatus.values()[random.nextInt(3)];
        long startedAt =
                state == EndpointStatus.READY && states.get(id) == EndpointStatus.REMOVED ? host.now - 100 * MS : 0;
        states.put(id, state);
        host.policy.endpointsUpdated(host.now, UpdateKind.DELTA, List.of(RecordingHost.endpoint(id, state, startedAt)));
        check();
    }
}
