package topazvalve.sidecar.upstream;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import topazvalve.core.pool.Codec;
import topazvalve.core.pool.ConnectionHandler;
import topazvalve.core.pool.PooledConnection;
import topazvalve.policy.SettingsReader;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;

/** The codec for HTTP/1.1 connections to the servers of the application. */
public final class HttpCodec implements Codec<UpstreamRequest, UpstreamResponse> {
    /**
     * How long a connection stays idle before it is reused. An unexpected second response some milliseconds after the
     * first then closes the connection, and is not mistaken for the response to the next request.
     */
    public static final long REUSE_DELAY_NANOS = 10_000_000;

    /** The Host header of requests that the sidecar itself creates. */
    public static final String HOST = "app.svc";

    private static final long HEALTH_CHECK_TIMEOUT_NANOS = 250_000_000;

    private final LoadReports loadReports = new LoadReports();
    private final long reuseDelayNanos;

    /** Creates a codec whose connections stay idle for {@code reuseDelayNanos} before they are reused. */
    public HttpCodec(long reuseDelayNanos) {
        this.reuseDelayNanos = reuseDelayNanos;
    }

    @Override
    public ConnectionHandler<UpstreamRequest, UpstreamResponse> newConnectionHandler(
            PooledConnection<UpstreamRequest, UpstreamResponse> connection) {
        return new HttpConnectionHandler(loadReports, connection);
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
    public long reuseDelayNanos() {
        return reuseDelayNanos;
    }

    @Override
    public void settingsChanged(SettingsReader settings) {
        loadReports.setFields(settings.list("report.fields"));
    }
}
