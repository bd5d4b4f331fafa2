package topazvalve.tcp;

import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.core.endpoint.EndpointDiscovery;
import topazvalve.core.exchange.ExchangeManager;
import topazvalve.core.metrics.Metrics;
import topazvalve.core.pool.ConnectionPools;
import topazvalve.core.requestclass.RequestClassRegistry;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.time.EventLoopScheduler;
import topazvalve.core.time.Scheduler;
import topazvalve.policy.EndpointStatus;
import topazvalve.policy.SettingsReader;
import topazvalve.policy.SidecarPolicy;

/**
 * Proxies the streams of one listener. Each listener has its own instance of the core and of the policy. All methods
 * must be called on the event loop.
 */
public final class TcpProxy {
    /**
     * The policy's settings, with times in nanoseconds. The latency objective is the connect timeout, streams are not
     * idempotent, and a server gets half its share while it warms up, for 5 s.
     */
    private static final String POLICY_SETTINGS = """
            quantum=0
            caps.mayCancel=true
            caps.mayProbe=false
            caps.tryLimit=%d
            caps.retryAfter=false
            caps.connectTimeout=%d
            rules.answerSlack=100000000
            rules.askWithin=1000000000
            rules.stopSendingWithin=500000000
            rules.coldShare=0.5
            rules.rampTime=5000000000
            rules.overloadFactor=2
            rules.tipAfter=1000000000
            profiles.count=1
            profiles.0.name=%s
            profiles.0.slo=%d
            profiles.0.deadline=%d
            profiles.0.semantics=once
            profiles.0.stream=true
            """;

    /** The core sets no limit: the frontend limits streams, by settings that can change while the process runs. */
    private static final int UNLIMITED = Integer.MAX_VALUE;

    private static final int ENDPOINT_WEIGHT = 1;
    private static final long STARTED_LONG_AGO = 0;
    /** The zone and machine kind of a server, which are not configured. */
    private static final String UNKNOWN = "";

    private final StreamCounters counters = new StreamCounters();
    private final ExchangeManager<StreamRequest, ServerConnection> exchanges;
    private final TcpFrontend frontend;
    private TcpSettings settings;
    private EndpointDiscovery discovery;
    private boolean shuttingDown;

    /**
     * Creates a proxy that {@link #start} starts.
     *
     * @param seed the seed of the policy's random numbers
     * @param budget limits the bytes that all streams of the process may buffer
     */
    public TcpProxy(EventLoop loop, TcpSettings settings, long seed, ByteBudget budget) {
        this.settings = settings;
        RequestClassRegistry requestClasses = new RequestClassRegistry();
        Scheduler scheduler = EventLoopScheduler.detectingStalls(loop);
        SettingsReader policySettings = policySettings(settings);
        exchanges = new ExchangeManager<>(
                scheduler,
                policySettings,
                (given, actions) -> new SidecarPolicy(given, seed, actions),
                new ConnectionPools<>(loop, scheduler, policySettings, new TcpCodec(() -> this.settings), UNLIMITED),
                UNLIMITED,
                new Metrics(),
                requestClasses,
                () -> Long.MAX_VALUE);
        frontend = new TcpFrontend(
                exchanges, requestClasses, () -> this.settings, counters, scheduler, budget, () -> shuttingDown);
    }

    private static SettingsReader policySettings(TcpSettings settings) {
        return new SettingsReader(POLICY_SETTINGS.formatted(
                settings.maxAttempts(),
                settings.connectTimeoutNanos(),
                TcpFrontend.REQUEST_CLASS,
                settings.connectTimeoutNanos(),
                settings.connectDeadlineNanos()));
    }

    /** Starts the policy with the listener's servers. */
    public void start() {
        discovery = EndpointDiscovery.fixed(() -> endpoints(settings), exchanges);
        exchanges.start(discovery, endpoints(settings));
    }

    /**
     * Returns the servers as endpoints. Each is a cell of its own, because no shared failure domains are configured.
     */
    private static List<Endpoint> endpoints(TcpSettings settings) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (InetSocketAddress server : settings.servers()) {
            EndpointStatus status =
                    settings.draining().contains(server) ? EndpointStatus.DRAINING : EndpointStatus.READY;
            endpoints.add(new Endpoint(
                    server.getAddress().getHostAddress() + ":" + server.getPort(),
                    server,
                    UNKNOWN,
                    UNKNOWN,
                    endpoints.size(),
                    status,
                    ENDPOINT_WEIGHT,
                    STARTED_LONG_AGO));
        }
        return endpoints;
    }

    /** Returns the initializer for connections that the listener accepts. */
    public ChannelHandler connectionInitializer() {
        return frontend.connectionInitializer();
    }

    /** Returns the settings in force. */
    public TcpSettings settings() {
        return settings;
    }

    /** Returns the counters of this listener. */
    public StreamCounters counters() {
        return counters;
    }

    /** Applies new settings: open streams keep theirs, and servers that are no longer listed are removed. */
    public void settingsChanged(TcpSettings newSettings) {
        settings = newSettings;
        exchanges.settingsChanged(policySettings(newSettings));
        discovery.fetch();
    }

    /** Rejects new streams from now on, and ends the open ones after the drain grace. */
    public void shutDown() {
        shuttingDown = true;
        frontend.shutDown();
    }

    /** Ends the open streams after the drain grace; new ones are still accepted. */
    public void drain() {
        frontend.drain();
    }

    /** Returns whether there are no streams. */
    public boolean isIdle() {
        return frontend.isIdle();
    }

    /** Appends the listener's metrics, one per line. */
    public void printMetrics(StringBuilder out) {
        counters.print(settings.name(), out);
    }
}
