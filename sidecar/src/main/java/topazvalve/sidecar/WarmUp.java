package topazvalve.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import topazvalve.core.lifecycle.ProcessLifecycle;
import topazvalve.core.metrics.Metrics;
import topazvalve.core.pool.ConnectionPools;
import topazvalve.core.pool.ReuseDelays;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.stream.RequestBody;
import topazvalve.core.time.EventLoopScheduler;
import topazvalve.policy.Actions;
import topazvalve.policy.AnswerReason;
import topazvalve.policy.AttemptResult;
import topazvalve.policy.EndpointInfo;
import topazvalve.policy.EndpointStatus;
import topazvalve.policy.Idempotency;
import topazvalve.policy.LoadBalancer;
import topazvalve.policy.Outcome;
import topazvalve.policy.Request;
import topazvalve.policy.RequestClass;
import topazvalve.policy.Settings;
import topazvalve.policy.SidecarPolicy;
import topazvalve.policy.UpdateKind;
import topazvalve.sidecar.config.Config;
import topazvalve.sidecar.http.Headers;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;
import topazvalve.sidecar.upstream.HttpCodec;

/**
 * Loads and compiles the request path before the first client connects. It has three steps: the policy handles
 * synthetic requests, an in-memory frontend answers some, and the sidecar sends requests to one of its own listeners.
 * Together they take at most 2.5 s. {@code docs/design/sidecar.md} gives the reasons.
 */
final class WarmUp {
    /** Requests per step. Fewer shorten the start but slow the first seconds: docs/measurements.md has the figures. */
    private static final int REQUESTS_PER_STEP = 200;
    /** Limit for all steps together: on a busy core, starting partly warmed up is better than starting late. */
    private static final long MAX_DURATION_NANOS = 2_500_000_000L;

    private static final long REQUEST_TIMEOUT_NANOS = 1_000_000_000;
    /** Virtual time between two synthetic requests to the policy. */
    private static final long POLICY_REQUEST_INTERVAL_NANOS = 10_000_000;

    private static final int OWN_ENDPOINT_ID = 0;

    private final ConnectionPools<UpstreamRequest, UpstreamResponse> ownConnections;
    private final long startedNanos;
    private Runnable completion;

    private WarmUp(long startedNanos, EventLoop loop, Config config) {
        this.startedNanos = startedNanos;
        this.ownConnections = new ConnectionPools<>(
                loop,
                new EventLoopScheduler(loop),
                config.settingsReader(),
                new HttpCodec(loop, 1, ReuseDelays.NONE),
                1);
    }

    /**
     * Runs the steps that need no socket. They block the event loop, so no client may be able to connect yet: its
     * request would stay unread until this returns, and could exceed its deadline.
     */
    static WarmUp begin(EventLoop loop, Config config) {
        long startedNanos = System.nanoTime();
        exercisePolicy(startedNanos, config.settingsReader().settings());
        exerciseFrontend(startedNanos, loop, config);
        return new WarmUp(startedNanos, loop, config);
    }

    /**
     * Sends requests to one of the sidecar's own listeners.
     *
     * @param listener null if there is none
     * @param onDone runs in the end, even if there is no listener or it can't be reached
     */
    void finish(InetSocketAddress listener, Runnable onDone) {
        completion = onDone;
        if (listener != null) {
            ownConnections.endpointUpdated(OWN_ENDPOINT_ID, listener, 0, true);
        }
        sendRequests(REQUESTS_PER_STEP);
    }

    private static boolean isTimeLimitExceeded(long startedNanos) {
        return System.nanoTime() - startedNanos > MAX_DURATION_NANOS;
    }

    /** Sends requests one after another. The responses are 503 or 404, but run through the same code as others. */
    private void sendRequests(int remaining) {
        if (remaining == 0 || isTimeLimitExceeded(startedNanos)) {
            ownConnections.close();
            completion.run();
            return;
        }
        UpstreamRequest request = new UpstreamRequest(
                HttpMethod.GET, "/up", new DefaultHttpHeaders().set(HttpHeaderNames.HOST, HttpCodec.HOST));
        ownConnections.startAttempt(
                OWN_ENDPOINT_ID,
                request,
                RequestBody.of(new byte[0]),
                REQUEST_TIMEOUT_NANOS,
                (outcome, response, load) -> sendRequests(isAnswered(outcome) ? remaining - 1 : 0));
    }

    private static boolean isAnswered(Outcome outcome) {
        return outcome == Outcome.ERROR || outcome == Outcome.OK;
    }

    /** Sends requests to an in-memory frontend; the core knows no endpoint and rejects them. */
    private static void exerciseFrontend(long startedNanos, EventLoop loop, Config config) {
        HttpProxy proxy = new HttpProxy(
                loop,
                config,
                REQUESTS_PER_STEP,
                1,
                new Metrics(),
                new ProcessLifecycle(),
                new ByteBudget(config.limits().bodyBytes()),
                List.of());
        EmbeddedChannel client = new EmbeddedChannel(proxy.frontend().connectionInitializer());
        List<RequestClass> classes = config.settingsReader().settings().requestClasses();
        List<String> classNames = config.settingsReader().names("profiles");
        List<String> tenants = config.settingsReader().names("parties");
        for (int i = 0; i < REQUESTS_PER_STEP && !isTimeLimitExceeded(startedNanos); i++) {
            int classIndex = i % classes.size();
            String request = request(
                    i, classNames.get(classIndex), classes.get(classIndex).idempotency(), tenants);
            client.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
            client.runPendingTasks();
            client.releaseOutbound();
        }
        client.finishAndReleaseAll();
        proxy.stop();
    }

    private static String request(int id, String className, Idempotency idempotency, List<String> tenants) {
        boolean idempotent = idempotency == Idempotency.IDEMPOTENT;
        boolean keyed = idempotency == Idempotency.IDEMPOTENCY_KEY;
        return (idempotent ? "GET" : "POST") + " /api/x HTTP/1.1\r\n"
                + "Host: " + HttpCodec.HOST + "\r\nReq-Id: " + id + "\r\n"
                + "Req-Kind: " + className + "\r\n"
                + (keyed ? "Idempotency-Key: " + id + "\r\n" : "")
                + (tenants.isEmpty() ? "" : "Req-Owner: " + tenants.get(0) + "\r\n")
                + Headers.DEADLINE_MILLIS + ": 1000\r\n"
                + (idempotent ? "\r\n" : "Content-Length: 2\r\n\r\nxx");
    }

    private static EndpointInfo readyEndpoint(int id) {
        return new EndpointInfo(id, 0, 0, 0, EndpointStatus.READY, 1, 0);
    }

    private static Request policyRequest(long id, int requestClass) {
        return new Request(id, requestClass, 0, 0, REQUEST_TIMEOUT_NANOS, 0, false, false);
    }

    private static void exercisePolicy(long startedNanos, Settings settings) {
        LoadBalancer policy = new SidecarPolicy(settings, 0, new IgnoredActions());
        long now = System.nanoTime() & Long.MAX_VALUE;
        policy.start(now);
        policy.endpointsUpdated(now, UpdateKind.CACHED, List.of(readyEndpoint(1), readyEndpoint(2)));
        for (int i = 0; i < REQUESTS_PER_STEP && !isTimeLimitExceeded(startedNanos); i++) {
            now += POLICY_REQUEST_INTERVAL_NANOS;
            int classIndex = i % settings.requestClasses().size();
            policy.requestReceived(now, policyRequest(i, classIndex));
            long responseNanos = POLICY_REQUEST_INTERVAL_NANOS / 2;
            policy.attemptCompleted(
                    now + responseNanos, new AttemptResult(i, 0, 1, Outcome.OK, responseNanos, true), new float[0]);
            policy.timerFired(now + responseNanos, i);
        }
    }

    /** Ignores the actions of the policy. */
    private static final class IgnoredActions implements Actions {
        @Override
        public void forward(long request, long upstream, long timeout) {}

        @Override
        public void reject(long request, long wait, AnswerReason reason) {}

        @Override
        public void fail(long request, AnswerReason reason) {}

        @Override
        public void cancelAttempt(long request, int attempt) {}

        @Override
        public void setTimer(long token, long at) {}

        @Override
        public void sendHealthCheck(long upstream) {}

        @Override
        public void closeIdleConnections(long upstream) {}

        @Override
        public void sendGossip(int peer, byte[] message) {}

        @Override
        public void log(String line) {}

        @Override
        public void watchEndpoints(boolean on) {}

        @Override
        public void fetchEndpoints() {}
    }
}
