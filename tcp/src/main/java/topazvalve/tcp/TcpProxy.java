package topazvalve.tcp;

import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import topazvalve.core.classes.ClassTable;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.core.endpoint.EndpointDiscovery;
import topazvalve.core.exchange.ExchangeManager;
import topazvalve.core.metrics.Metrics;
import topazvalve.core.pool.ConnectionPools;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.time.EventLoopScheduler;
import topazvalve.core.time.Scheduler;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.policy.SettingsReader;
import topazvalve.policy.SidecarPolicy;

/** One listener's streams plugged into the core, with a decision module of their own for their servers. */
public final class TcpProxy {
    /**
     * What the module is set to. An aim is a part of the connect deadline; a stream runs once; servers are
     * given half a share while they warm up, which is taken to be 5 s.
     */
    private static final String SETTINGS = """
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

    private final StreamCounters counts = new StreamCounters();
    private final ExchangeManager<StreamRequest, ServerLink> exchanges;
    private final TcpFrontend front;
    private TcpSettings settings;
    private EndpointDiscovery servers;
    private boolean ending;

    /** On this loop; {@code budget} bounds the bytes that all streams hold. */
    public TcpProxy(EventLoop loop, TcpSettings settings, long seed, ByteBudget budget) {
        this.settings = settings;
        ClassTable classes = new ClassTable();
        Scheduler time = EventLoopScheduler.detectingStalls(loop);
        SettingsReader options = options(settings);
        // How many there may be is the front's to say, by settings that can change.
        exchanges = new ExchangeManager<>(
                time,
                options,
                (given, actions) -> new SidecarPolicy(given, seed, actions),
                new ConnectionPools<>(loop, time, options, new TcpCodec(() -> this.settings), Integer.MAX_VALUE),
                Integer.MAX_VALUE,
                new Metrics(),
                classes);
        front = new TcpFrontend(exchanges, classes, () -> this.settings, counts, time, budget, () -> ending);
    }

    private static SettingsReader options(TcpSettings settings) {
        return new SettingsReader(SETTINGS.formatted(
                settings.attempts(),
                settings.connectTimeout(),
                TcpFrontend.CLASS,
                settings.connectTimeout(),
                settings.connectDeadline()));
    }

    /** Begins; on the loop, like all that follows. */
    public void start() {
        servers = EndpointDiscovery.fixed(() -> targets(settings), exchanges);
        exchanges.start(servers, targets(settings));
    }

    private static List<Endpoint> targets(TcpSettings settings) {
        List<Endpoint> targets = new ArrayList<>();
        int number = 0;
        for (InetSocketAddress each : settings.servers()) {
            targets.add(new Endpoint(
                    each.getAddress().getHostAddress() + ":" + each.getPort(),
                    each,
                    "",
                    "",
                    number++,
                    settings.draining().contains(each) ? EndpointStatus.DRAINING : EndpointStatus.READY,
                    1,
                    0));
        }
        return targets;
    }

    /** Takes up each connection that the listener makes. */
    public ChannelHandler connections() {
        return front.connectionInitializer();
    }

    public TcpSettings settings() {
        return settings;
    }

    public StreamCounters counts() {
        return counts;
    }

    /** New settings: streams that are open keep theirs; a server that is not named any more is left. */
    public void settingsChanged(TcpSettings next) {
        settings = next;
        exchanges.settingsChanged(options(next));
        servers.fetch();
    }

    /** Takes no more streams; those that are open may run on for their grace. */
    public void shutDown() {
        ending = true;
        front.end();
    }

    /** As a lame duck: those that are open are to end within their grace, new ones are still taken. */
    public void drain() {
        front.drain();
    }

    /** Whether no stream is there any more. */
    public boolean isIdle() {
        return front.isIdle();
    }

    /** Figures for operators. */
    public void printMetrics(StringBuilder to) {
        counts.print(settings.name(), to);
    }
}
