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

/** Plays long random sequences of valid events to the policy; an independent observer checks every action. */
class SidecarPolicyRandomEventsTest {
    private static final long DEADLINE = 1_000 * MS;
    private static final long ANSWER_SLACK = 20 * MS;
    private static final int MAX_ATTEMPTS = 3;
    private static final int CLOCK_RESOLUTION_MS = 5;
    private static final List<RequestClass> CLASSES = List.of(
            RecordingHost.IDEMPOTENT,
            RecordingHost.NON_IDEMPOTENT,
            RecordingHost.KEY_FOR_CELL,
            RecordingHost.KEY_FOR_ALL,
            RecordingHost.requestClass(Idempotency.IDEMPOTENCY_KEY, KeyScope.ZONE));

    private static final class ObservedRequest {
        final RequestClass requestClass;
        final long deadline;
        final List<RecordingHost.SentAttempt> sent = new ArrayList<>();
        final Map<Integer, Outcome> outcomes = new HashMap<>();
        int answers;

        ObservedRequest(RequestClass requestClass, long deadline) {
            this.requestClass = requestClass;
            this.deadline = deadline;
        }

        boolean mayHaveRun(int attempt) {
            Outcome outcome = outcomes.get(attempt);
            return outcome == null || !outcome.provesNeverRan();
        }
    }

    private final Map<Long, ObservedRequest> observed = new HashMap<>();
    private final Map<Long, EndpointStatus> statuses = new HashMap<>();
    private final Set<Integer> checkedAttempts = new HashSet<>();
    private final List<Long> outstandingProbes = new ArrayList<>();
    private int probes;
    private int logPosition;
    private RecordingHost host;

    /** Checks each action since the last call against the rules. */
    private void checkActions() {
        int attemptsSeen = checkedAttempts.size();
        for (; logPosition < host.log.size(); logPosition++) {
            String[] action = host.log.get(logPosition).split(" ");
            switch (action[0]) {
                case "forward" -> {
                    RecordingHost.SentAttempt sent = host.attempts.get(attemptsSeen);
                    checkedAttempts.add(attemptsSeen++);
                    checkAttempt(sent);
                }
                case "health-check" -> {
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
        assertEquals(0, observedRequest.answers, "sent after the final answer: " + sent);
        assertEquals(
                EndpointStatus.READY, statuses.get(sent.endpoint()), "sent to an endpoint that is not ready: " + sent);
        assertTrue(observedRequest.sent.size() < MAX_ATTEMPTS, "more than the maximum of attempts: " + sent);
        RecordingHost.SentAttempt firstThatMayHaveRun = null;
        for (RecordingHost.SentAttempt earlier : observedRequest.sent) {
            if (firstThatMayHaveRun == null && observedRequest.mayHaveRun(earlier.attempt())) {
                firstThatMayHaveRun = earlier;
            }
        }
        if (firstThatMayHaveRun != null) {
            assertTrue(
                    observedRequest.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT,
                    "non-idempotent request retried: " + sent);
            if (observedRequest.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
                assertTrue(
                        sent.at() < firstThatMayHaveRun.at() + observedRequest.requestClass.keyTtlNanos(),
                        "key expired: " + sent);
                long first = firstThatMayHaveRun.endpoint();
                long next = sent.endpoint();
                switch (observedRequest.requestClass.keyScope()) {
                    case ZONE ->
                        assertEquals(first % RecordingHost.ZONES, next % RecordingHost.ZONES, "other zone: " + sent);
                    case CELL ->
                        assertEquals(
                                first / RecordingHost.ENDPOINTS_PER_CELL,
                                next / RecordingHost.ENDPOINTS_PER_CELL,
                                "other cell: " + sent);
                    default -> {}
                }
            }
        }
        observedRequest.sent.add(sent);
    }

    private void checkAnswer(String answer, long id) {
        ObservedRequest observedRequest = observed.get(id);
        assertEquals(1, ++observedRequest.answers, "answered twice: " + id);
        assertTrue(host.now <= observedRequest.deadline + ANSWER_SLACK, "late answer: " + id);
        boolean mayHaveRun = observedRequest.sent.stream().anyMatch(sent -> observedRequest.mayHaveRun(sent.attempt()));
        boolean harmless = !mayHaveRun
                || observedRequest.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (observedRequest.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && observedRequest.requestClass.keyScope() == KeyScope.ALL);
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
                checkActions();
            }
        }
    }

    private void play(long seed, Settings settings) {
        Random random = new Random(seed);
        host = new RecordingHost(settings, seed);
        int endpoints = 1 + random.nextInt(12);
        List<EndpointInfo> initial = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            initial.add(RecordingHost.endpoint(i));
            statuses.put((long) i, EndpointStatus.READY);
        }
        host.policy.endpointsUpdated(host.now, UpdateKind.CACHED, initial);
        List<RecordingHost.SentAttempt> outstanding = new ArrayList<>();
        int collected = 0;
        long nextId = 0;
        for (int step = 0; step < 6_000; step++) {
            int event = random.nextInt(100);
            if (event < 40) {
                long timeLeft = random.nextInt(10) == 0 ? random.nextInt(30) * MS : DEADLINE;
                int requestClass = random.nextInt(CLASSES.size());
                observed.put(nextId, new ObservedRequest(CLASSES.get(requestClass), host.now + timeLeft));
                host.request(nextId++, requestClass, timeLeft);
            } else if (event < 70 && !outstanding.isEmpty()) {
                completeAtRandom(outstanding.remove(random.nextInt(outstanding.size())), random);
            } else if (event < 72) {
                updateRandomEndpoint(random, endpoints);
            } else if (event < 73 && nextId > 0) {
                long id = nextId - 1 - random.nextInt((int) Math.min(nextId, 20));
                if (observed.get(id).answers == 0) {
                    observed.get(id).answers++;
                    host.policy.clientDisconnected(host.now, id);
                }
            } else {
                advance(random.nextInt(8));
            }
            checkActions();
            answerProbes(random);
            while (collected < host.attempts.size()) {
                outstanding.add(host.attempts.get(collected++));
            }
            for (int i = outstanding.size() - 1; i >= 0; i--) {
                if (host.now >= observed.get(outstanding.get(i).request()).deadline) {
                    RecordingHost.SentAttempt sent = outstanding.remove(i);
                    complete(sent, Outcome.TIMEOUT);
                }
            }
            checkActions();
        }
        advance(3_000);
        checkActions();
        observed.forEach((id, observedRequest) -> assertEquals(1, observedRequest.answers, "answers of " + id));
        assertTrue(nextId > 2_000, "the sequence is too short: " + nextId);
    }

    /** Advances the clock in steps of its resolution, as a host does that handles events in batches. */
    private void advance(int millis) {
        for (int passed = 0; passed < millis; passed += CLOCK_RESOLUTION_MS) {
            host.advance(CLOCK_RESOLUTION_MS * MS);
            checkActions();
        }
    }

    private void completeAtRandom(RecordingHost.SentAttempt sent, Random random) {
        int draw = random.nextInt(10);
        complete(sent, draw < 6 ? Outcome.OK : Outcome.values()[random.nextInt(Outcome.values().length)]);
    }

    private void complete(RecordingHost.SentAttempt sent, Outcome outcome) {
        ObservedRequest observedRequest = observed.get(sent.request());
        boolean answered = observedRequest.answers > 0;
        observedRequest.outcomes.put(sent.attempt(), outcome);
        if (outcome == Outcome.OK && !answered) {
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
                        answered || outcome == Outcome.OK),
                new float[0]);
        checkActions();
    }

    private void updateRandomEndpoint(Random random, int endpoints) {
        long id = random.nextInt(endpoints);
        EndpointStatus status = EndpointStatus.values()[random.nextInt(3)];
        long startedAt =
                status == EndpointStatus.READY && statuses.get(id) == EndpointStatus.REMOVED ? host.now - 100 * MS : 0;
        statuses.put(id, status);
        host.policy.endpointsUpdated(
                host.now, UpdateKind.DELTA, List.of(RecordingHost.endpoint(id, status, startedAt)));
        checkActions();
    }
}
