package topazvalve.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/** A host for tests: it has the clock, fires timers and records the policy's actions. */
final class RecordingHost implements Actions {
    static final long MS = 1_000_000;
    static final RequestClass IDEMPOTENT = requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL);
    static final RequestClass NON_IDEMPOTENT = requestClass(Idempotency.NON_IDEMPOTENT, KeyScope.ALL);
    static final RequestClass KEY_PER_CELL = requestClass(Idempotency.IDEMPOTENCY_KEY, KeyScope.CELL);
    static final RequestClass KEY_EVERYWHERE = requestClass(Idempotency.IDEMPOTENCY_KEY, KeyScope.ALL);

    record SentAttempt(long request, int attempt, long endpoint, long at) {}

    record Timer(long at, long token) {}

    final List<String> log = new ArrayList<>();
    final List<SentAttempt> attempts = new ArrayList<>();
    final List<String> answers = new ArrayList<>();
    final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    final SidecarPolicy policy;
    long now = 1_000 * MS;
    int watchCount;

    RecordingHost(Settings settings, long seed) {
        policy = new SidecarPolicy(settings, seed, this);
        policy.start(now);
    }

    static RequestClass requestClass(Idempotency idempotency, KeyScope scope) {
        return new RequestClass(500 * MS, 0, 1_000 * MS, 1, 0, idempotency, scope, 700 * MS, false);
    }

    /** Returns a non-idempotent class whose latency objective has this many milliseconds. */
    static RequestClass withObjective(long ms) {
        return new RequestClass(
                ms * MS, 0, 1_000 * MS, 1, 0, NON_IDEMPOTENT.idempotency(), NON_IDEMPOTENT.keyScope(), 0, false);
    }

    /** Creates a host with these classes, the default settings and a fixed seed. */
    static RecordingHost host(RequestClass... classes) {
        return new RecordingHost(settings(classes), 7);
    }

    /** Sends requests that are answered at once, so that in-flight counts always tie; returns their endpoints. */
    List<Long> serveRequests(int count, long firstId) {
        List<Long> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            request(firstId + i, 0);
            endpoints.add(last().endpoint());
            advance(MS);
            outcome(last(), Outcome.OK);
        }
        return endpoints;
    }

    static Settings settings(RequestClass... classes) {
        return settings(DiscoveryMode.AUTOMATIC, classes);
    }

    static Settings settings(DiscoveryMode discovery, RequestClass... classes) {
        return new Settings(
                0,
                3,
                0,
                5 * MS,
                discovery,
                WeightKind.SILENT,
                List.of(classes),
                List.<Tenant>of(),
                new Capabilities(true, false, false, true, true, 3, 1_000 * MS, 250 * MS),
                new Limits(20 * MS, 10_000 * MS, 250 * MS, 0.3, 8_000 * MS, 3, 1_500 * MS),
                List.of(),
                Costs.NONE,
                false,
                1);
    }

    /** Settings with cheap health checks whose reports contain the requests in flight. */
    static Settings loadProbingSettings(int instanceCount, RequestClass... classes) {
        Settings base = settings(classes);
        return new Settings(
                0,
                instanceCount,
                0,
                MS,
                DiscoveryMode.AUTOMATIC,
                WeightKind.SILENT,
                base.requestClasses(),
                List.of(),
                new Capabilities(true, true, false, false, true, 3, 1_000 * MS, 250 * MS),
                base.limits(),
                List.of("q", "rif"),
                new Costs(0.002, 0),
                false,
                1);
    }

    static EndpointInfo endpoint(long id) {
        return endpoint(id, EndpointStatus.READY, 0);
    }

    static EndpointInfo endpoint(long id, EndpointStatus state, long startedAt) {
        return new EndpointInfo(id, (int) (id % 2), 0, (int) (id / 3), state, 1, startedAt);
    }

    /** Lists endpoints 0 to count - 1 as ready and started long ago. */
    RecordingHost withEndpoints(int count) {
        List<EndpointInfo> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(endpoint(i));
        }
        policy.endpointsUpdated(now, UpdateKind.CACHED, list);
        return this;
    }

    void request(long id, int requestClass) {
        request(id, requestClass, 1_000 * MS);
    }

    void request(long id, int requestClass, long timeLeft) {
        policy.requestReceived(now, new Request(id, requestClass, 0, 0, timeLeft, 0, false, false));
    }

    void outcome(SentAttempt sent, Outcome outcome) {
        policy.attemptCompleted(
                now,
                new AttemptResult(
                        sent.request, sent.attempt, sent.endpoint, outcome, now - sent.at, outcome == Outcome.OK),
                new float[0]);
    }

    /** Advances the clock and fires the timers that are due. */
    void advance(long by) {
        long end = now + by;
        while (!timers.isEmpty() && timers.peek().at <= end) {
            Timer timer = timers.poll();
            now = Math.max(now, timer.at);
            policy.timerFired(now, timer.token);
        }
        now = end;
    }

    /** Receives requests from..to one by one and answers each after {@code took}. */
    void serve(long from, long to, int requestClass, long took) {
        for (long id = from; id < to; id++) {
            request(id, requestClass);
            SentAttempt sent = last();
            advance(took);
            outcome(sent, Outcome.OK);
        }
    }

    /** Receives requests from..to at once. */
    void burst(long from, long to, int requestClass) {
        for (long id = from; id < to; id++) {
            request(id, requestClass);
        }
    }

    /** The number of attempts sent to an endpoint, without the first {@code since} attempts of all. */
    long attemptsTo(long endpoint, int since) {
        return attempts.stream().skip(since).filter(s -> s.endpoint == endpoint).count();
    }

    SentAttempt last() {
        return attempts.get(attempts.size() - 1);
    }

    List<SentAttempt> attemptsOf(long request) {
        return attempts.stream().filter(s -> s.request == request).toList();
    }

    @Override
    public void forward(long request, long endpoint, long timeout) {
        log.add("send " + request + " " + endpoint + " " + timeout);
        attempts.add(new SentAttempt(request, attemptsOf(request).size(), endpoint, now));
    }

    @Override
    public void reject(long request, long wait) {
        log.add("reject " + request + " " + wait);
        answers.add("reject " + request);
    }

    @Override
    public void fail(long request) {
        log.add("fail " + request);
        answers.add("fail " + request);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        log.add("cancel " + request + " " + attempt);
    }

    @Override
    public void setTimer(long token, long at) {
        log.add("timer " + token + " " + at);
        timers.add(new Timer(at, token));
    }

    @Override
    public void sendHealthCheck(long endpoint) {
        log.add("probe " + endpoint);
    }

    @Override
    public void closeIdleConnections(long endpoint) {
        log.add("close " + endpoint);
    }

    @Override
    public void sendGossip(int peer, byte[] message) {
        log.add("tell " + peer);
    }

    @Override
    public void log(String line) {
        log.add("log " + line);
    }

    @Override
    public void watchEndpoints(boolean on) {
        log.add("subscribe " + on);
        watchCount++;
    }

    @Override
    public void fetchEndpoints() {
        log.add("fetch");
    }
}
