package topazvalve.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import topazvalve.policy.LoadBalancer.Actions;
import topazvalve.policy.LoadBalancer.Capabilities;
import topazvalve.policy.LoadBalancer.DiscoveryMode;
import topazvalve.policy.LoadBalancer.EndpointInfo;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.policy.LoadBalancer.Idempotency;
import topazvalve.policy.LoadBalancer.KeyScope;
import topazvalve.policy.LoadBalancer.Limits;
import topazvalve.policy.LoadBalancer.Outcome;
import topazvalve.policy.LoadBalancer.Request;
import topazvalve.policy.LoadBalancer.RequestClass;
import topazvalve.policy.LoadBalancer.Settings;
import topazvalve.policy.LoadBalancer.Tenant;
import topazvalve.policy.LoadBalancer.UpdateKind;
import topazvalve.policy.LoadBalancer.WeightKind;

/** A host for tests: it keeps the clock, rings timers and writes down what the module orders. */
final class Recorder implements Actions {
    static final long MS = 1_000_000;
    static final RequestClass REPEATABLE = requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL);
    static final RequestClass ONCE = requestClass(Idempotency.NON_IDEMPOTENT, KeyScope.ALL);
    static final RequestClass BY_CELL = requestClass(Idempotency.IDEMPOTENCY_KEY, KeyScope.CELL);
    static final RequestClass BY_ANY = requestClass(Idempotency.IDEMPOTENCY_KEY, KeyScope.ALL);

    record Sent(long request, int attempt, long upstream, long at) {}

    record Timer(long at, long token) {}

    final List<String> log = new ArrayList<>();
    final List<Sent> sends = new ArrayList<>();
    final List<String> answers = new ArrayList<>();
    final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    final SidecarPolicy rules;
    long now = 1_000 * MS;
    int subscriptions;

    Recorder(Settings settings, long seed) {
        rules = new SidecarPolicy(settings, seed, this);
        rules.start(now);
    }

    static RequestClass requestClass(Idempotency semantics, KeyScope scope) {
        return new RequestClass(500 * MS, 0, 1_000 * MS, 1, 0, semantics, scope, 700 * MS, false);
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
                LoadBalancer.Costs.NONE,
                false,
                1);
    }

    /** Where probes are all but free, reports tell what is held, and attempts may not overlap. */
    static Settings lookingSettings(int replicas, RequestClass... classes) {
        Settings base = settings(classes);
        return new Settings(
                0,
                replicas,
                0,
                MS,
                DiscoveryMode.AUTOMATIC,
                WeightKind.SILENT,
                base.requestClasses(),
                List.of(),
                new Capabilities(true, true, false, false, true, 3, 1_000 * MS, 250 * MS),
                base.limits(),
                List.of("q", "rif"),
                new LoadBalancer.Costs(0.002, 0),
                false,
                1);
    }

    static EndpointInfo upstream(long id) {
        return upstream(id, EndpointStatus.READY, 0);
    }

    static EndpointInfo upstream(long id, EndpointStatus state, long startedAt) {
        return new EndpointInfo(id, (int) (id % 2), 0, (int) (id / 3), state, 1, startedAt);
    }

    /** Lists upstreams 0 to count - 1 as ready and long started. */
    Recorder withUpstreams(int count) {
        List<EndpointInfo> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(upstream(i));
        }
        rules.endpointsUpdated(now, UpdateKind.CACHED, list);
        return this;
    }

    void request(long id, int requestClass) {
        request(id, requestClass, 1_000 * MS);
    }

    void request(long id, int requestClass, long left) {
        rules.requestReceived(now, new Request(id, requestClass, 0, 0, left, 0, false, false));
    }

    void outcome(Sent sent, Outcome outcome) {
        rules.attemptCompleted(
                now,
                sent.request,
                sent.attempt,
                sent.upstream,
                outcome,
                now - sent.at,
                outcome == Outcome.OK,
                new float[0]);
    }

    /** Moves the clock, ringing every timer on its way. */
    void advance(long by) {
        long end = now + by;
        while (!timers.isEmpty() && timers.peek().at <= end) {
            Timer timer = timers.poll();
            now = Math.max(now, timer.at);
            rules.timerFired(now, timer.token);
        }
        now = end;
    }

    /** Serves ids from..to one by one, each answered after {@code took}. */
    void serve(long from, long to, int requestClass, long took) {
        for (long id = from; id < to; id++) {
            request(id, requestClass);
            Sent sent = last();
            advance(took);
            outcome(sent, Outcome.OK);
        }
    }

    /** Ids from..to, all at once. */
    void burst(long from, long to, int requestClass) {
        for (long id = from; id < to; id++) {
            request(id, requestClass);
        }
    }

    /** Attempts sent to an upstream since that many sends. */
    long sentTo(long upstream, int since) {
        return sends.stream().skip(since).filter(s -> s.upstream == upstream).count();
    }

    Sent last() {
        return sends.get(sends.size() - 1);
    }

    List<Sent> sendsOf(long request) {
        return sends.stream().filter(s -> s.request == request).toList();
    }

    @Override
    public void forward(long request, long upstream, long timeout) {
        log.add("send " + request + " " + upstream + " " + timeout);
        sends.add(new Sent(request, sendsOf(request).size(), upstream, now));
    }

    @Override
    public void reject(long request, long wait) {
        log.add("refuse " + request + " " + wait);
        answers.add("refuse " + request);
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
    public void sendHealthCheck(long upstream) {
        log.add("probe " + upstream);
    }

    @Override
    public void closeIdleConnections(long upstream) {
        log.add("close " + upstream);
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
        subscriptions++;
    }

    @Override
    public void fetchEndpoints() {
        log.add("fetch");
    }
}
