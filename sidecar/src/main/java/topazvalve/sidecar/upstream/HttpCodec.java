package topazvalve.sidecar.upstream;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import topazvalve.core.pool.Codec;
import topazvalve.core.pool.ConnectionHandler;
import topazvalve.core.pool.PooledConnection;
import topazvalve.core.pool.ReuseDelays;
import topazvalve.core.time.TurnQueue;
import topazvalve.policy.SettingsReader;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;

/** The codec for HTTP/1.1 connections to the servers of the application. */
public final class HttpCodec implements Codec<UpstreamRequest, UpstreamResponse> {
    /** How long a connection rests before it is reused. */
    public static final long REUSE_DELAY_NANOS = 100_000_000;

    /** How long an attempt waits for a resting connection: about as long as opening another one in another zone. */
    private static final long MAX_REUSE_WAIT_NANOS = 30_000_000;

    /** The delays for connections to the application's servers. */
    public static final ReuseDelays REUSE_DELAYS = new ReuseDelays(REUSE_DELAY_NANOS, MAX_REUSE_WAIT_NANOS);

    /** The Host header of requests that the sidecar itself creates. */
    public static final String HOST = "app.svc";

    /** The part of a processor core that responses may use that take long to process. */
    private static final double RESPONSE_TURNS_FRACTION = 0.5;

    private static final long HEALTH_CHECK_TIMEOUT_NANOS = 250_000_000;

    private final LoadReports loadReports = new LoadReports();
    private final ReuseDelays reuseDelays;
    private final TurnQueue responseTurns;

    /**
     * Creates a codec.
     *
     * @param loop the event loop of its connections
     * @param cores the number of processor cores that the process may use
     * @param reuseDelays how long its connections rest before they are reused
     */
    public HttpCodec(EventLoop loop, double cores, ReuseDelays reuseDelays) {
        this.reuseDelays = reuseDelays;
        this.responseTurns = new TurnQueue(loop, RESPONSE_TURNS_FRACTION * Math.min(1, cores));
    }

    @Override
    public ConnectionHandler<UpstreamRequest, UpstreamResponse> newConnectionHandler(
            PooledConnection<UpstreamRequest, UpstreamResponse> connection) {
        return new HttpConnectionHandler(loadReports, responseTurns, connection);
    }

    /** Requests the server's load report if the deployment has load reports, else its health path. */
    @Override
    public HealthCheck<UpstreamRequest> healthCheck() {
        return new HealthCheck<>(
                new UpstreamRequest(
                        HttpMethod.GET,
                        loadReports.healthCheckPath(),
                        new DefaultHttpHeaders().set(HttpHeaderNames.HOST, HOST)),
                HEALTH_CHECK_TIMEOUT_NANOS);
    }

    @Override
    public ReuseDelays reuseDelays() {
        return reuseDelays;
    }

    @Override
    public void settingsChanged(SettingsReader settings) {
        loadReports.setFields(settings.list("report.fields"));
    }
}
