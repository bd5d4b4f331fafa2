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

/** HTTP/1.1 towards order servers. */
public final class HttpCodec implements Codec<UpstreamRequest, UpstreamResponse> {
    /**
     * Danger: a second answer that a server sends some milliseconds behind the first would be taken for the
     * next request's; on a connection that rests it shows, and closes it. Longer would keep more connections
     * open, which take of a server's capacity; it is about what a new one takes to come up.
     */
    public static final long REST = 10_000_000;

    private static final long PROBE_TIMEOUT = 250_000_000;

    private final LoadReports reports = new LoadReports();
    private final long rest;

    /** Whose connections rest for so many nanoseconds before they are lent again. */
    public HttpCodec(long rest) {
        this.rest = rest;
    }

    @Override
    public ConnectionHandler<UpstreamRequest, UpstreamResponse> newConnectionHandler(
            PooledConnection<UpstreamRequest, UpstreamResponse> connection) {
        return new HttpConnectionHandler(reports, connection);
    }

    /** For a server's load report where the deployment has reports, else for its health. */
    @Override
    public HealthCheck<UpstreamRequest> healthCheck() {
        return new HealthCheck<>(
                new UpstreamRequest(
                        HttpMethod.GET, reports.path(), new DefaultHttpHeaders().set(HttpHeaderNames.HOST, "app.svc")),
                PROBE_TIMEOUT);
    }

    @Override
    public long reuseDelayNanos() {
        return rest;
    }

    @Override
    public void settingsChanged(SettingsReader options) {
        reports.take(options.list("report.fields"));
    }
}
