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
import topazvalve.core.lifecycle.Lifecycle;
import topazvalve.core.metrics.Metrics;
import topazvalve.core.pool.ConnectionPools;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.stream.RequestBody;
import topazvalve.core.time.EventLoopScheduler;
import topazvalve.policy.LoadBalancer;
import topazvalve.policy.LoadBalancer.EndpointInfo;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.policy.LoadBalancer.Idempotency;
import topazvalve.policy.LoadBalancer.Outcome;
import topazvalve.policy.LoadBalancer.Request;
import topazvalve.policy.LoadBalancer.RequestClass;
import topazvalve.policy.LoadBalancer.Settings;
import topazvalve.policy.LoadBalancer.UpdateKind;
import topazvalve.policy.SidecarPolicy;
import topazvalve.sidecar.config.Config;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;
import topazvalve.sidecar.upstream.HttpCodec;

/**
 * Loads and compiles what every request runs through, before the first client comes: the sidecar asks one of
 * its own listeners, and an instance of the module that nobody hears decides for requests that do not exist.
 */
final class WarmUp {
    /** Fewer start sooner and cost the first seconds of service: docs/measurements.md has the figures. */
    private static final int ROUNDS = 200;

    private static final long PATIENCE = 1_000_000_000;
    /** For all rounds together: on a crowded core a cold sidecar is better than a late one. */
    private static final long LONGEST = 2_500_000_000L;

    private static final long STEP = 10_000_000;

    private final ConnectionPools<UpstreamRequest, UpstreamResponse> self;
    private final long began;
    private Runnable done;

    private WarmUp(long began, EventLoop loop, Config config) {
        this.began = began;
        this.self = new ConnectionPools<>(loop, new EventLoopScheduler(loop), config.options(), new HttpCodec(0), 1);
    }

    /**
     * What needs no socket, on the loop and in one go. Nobody must be able to connect yet: a request would
     * lie unread, and its client's time run, until it is over.
     */
    static WarmUp begin(EventLoop loop, Config config) {
        long began = System.nanoTime();
        decide(began, config.options().settings());
        answer(began, loop, config);
        return new WarmUp(began, loop, config);
    }

    /** The rest; {@code done} follows also if there is no listener or it can't be reached. */
    void end(InetSocketAddress listener, Runnable then) {
        done = then;
        if (listener != null) {
            self.endpointUpdated(0, listener, 0, true);
        }
        ask(ROUNDS);
    }

    private static boolean late(long began) {
        return System.nanoTime() - began > LONGEST;
    }

    /** The answer is 503 or 404, since nothing is ready or nobody knows the path: the way is the same. */
    private void ask(int left) {
        if (left == 0 || late(began)) {
            self.close();
            done.run();
            return;
        }
        UpstreamRequest message = new UpstreamRequest(
                HttpMethod.GET, "/up", new DefaultHttpHeaders().set(HttpHeaderNames.HOST, "app.svc"));
        self.startAttempt(
                0,
                message,
                RequestBody.of(new byte[0]),
                PATIENCE,
                (outcome, answer, load) -> ask(outcome == Outcome.ERROR || outcome == Outcome.OK ? left - 1 : 0));
    }

    /** A frontend that nobody can reach takes requests; the core, which knows no server, refuses them. */
    private static void answer(long began, EventLoop loop, Config config) {
        HttpProxy side = new HttpProxy(
                loop, config, ROUNDS, 1, new Metrics(), new Lifecycle(), new ByteBudget(config.bodyBytes()), List.of());
        List<String> tenants = config.options().names("parties");
        EmbeddedChannel client = new EmbeddedChannel(side.front().connectionInitializer());
        List<RequestClass> rules = config.options().settings().requestClasses();
        List<String> names = config.options().names("profiles");
        for (int i = 0; i < ROUNDS && !late(began); i++) {
            Idempotency semantics = rules.get(i % rules.size()).idempotency();
            String request = (semantics == Idempotency.IDEMPOTENT ? "GET" : "POST") + " /api/x HTTP/1.1\r\n"
                    + "Host: app.svc\r\nReq-Id: " + i + "\r\n"
                    + "Req-Kind: " + names.get(i % rules.size()) + "\r\n"
                    + (semantics == Idempotency.IDEMPOTENCY_KEY ? "Idempotency-Key: " + i + "\r\n" : "")
                    + (tenants.isEmpty() ? "" : "Req-Owner: " + tenants.get(0) + "\r\n")
                    + "Req-Deadline-Ms: 1000\r\n"
                    + (semantics == Idempotency.IDEMPOTENT ? "\r\n" : "Content-Length: 2\r\n\r\nxx");
            client.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
            client.runPendingTasks();
            client.releaseOutbound();
        }
        client.finishAndReleaseAll();
        side.stop();
    }

    private static void decide(long began, Settings settings) {
        LoadBalancer rules = new SidecarPolicy(settings, 0, new Unheard());
        long now = System.nanoTime() & Long.MAX_VALUE;
        rules.start(now);
        rules.endpointsUpdated(
                now,
                UpdateKind.CACHED,
                List.of(
                        new EndpointInfo(1, 0, 0, 0, EndpointStatus.READY, 1, 0),
                        new EndpointInfo(2, 0, 0, 0, EndpointStatus.READY, 1, 0)));
        for (int i = 0; i < ROUNDS && !late(began); i++) {
            now += STEP;
            rules.requestReceived(
                    now, new Request(i, i % settings.requestClasses().size(), 0, 0, PATIENCE, 0, false, false));
            rules.attemptCompleted(now + STEP / 2, i, 0, 1, Outcome.OK, STEP / 2, true, new float[0]);
            rules.timerFired(now + STEP / 2, i);
        }
    }

    private static final class Unheard implements LoadBalancer.Actions {
        @Override
        public void forward(long request, long upstream, long timeout) {}

        @Override
        public void reject(long request, long wait) {}

        @Override
        public void fail(long request) {}

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
