package topazvalve.tcp;

import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import topazvalve.core.classes.ClassTable;
import topazvalve.core.exchange.Exchanges;
import topazvalve.core.metrics.Metrics;
import topazvalve.core.pool.Pools;
import topazvalve.core.servers.ServerList;
import topazvalve.core.servers.Target;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.time.LoopTime;
import topazvalve.core.time.Time;
import topazvalve.decisions.Balancer.State;
import topazvalve.decisions.Options;
import topazvalve.decisions.Rules;

/** One listener's streams plugged into the core, with a decision module of their own for their servers. */
public final class TcpSide {
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

    private final StreamCounts counts = new StreamCounts();
    private final Exchanges<Opening, Link> exchanges;
    private final TcpFront front;
    private TcpSettings settings;
    private ServerList servers;
    private boolean ending;

    /** On this loop; {@code budget} bounds the bytes that all streams hold. */
    public TcpSide(EventLoop loop, TcpSettings settings, long seed, ByteBudget budget) {
        this.settings = settings;
        ClassTable classes = new ClassTable();
        Time time = LoopTime.watched(loop);
        Options options = options(settings);
        // How many there may be is the front's to say, by settings that can change.
        exchanges = new Exchanges<>(
                time,
                options,
                (given, actions) -> new Rules(given, seed, actions),
                new Pools<>(loop, time, options, new TcpCodec(() -> this.settings), Integer.MAX_VALUE),
                Integer.MAX_VALUE,
                new Metrics(),
                classes);
        front = new TcpFront(exchanges, classes, () -> this.settings, counts, time, budget, () -> ending);
    }

    private static Options options(TcpSettings settings) {
        return new Options(SETTINGS.formatted(
                settings.attempts(),
                settings.connectTimeout(),
                TcpFront.CLASS,
                settings.connectTimeout(),
                settings.connectDeadline()));
    }

    /** Begins; on the loop, like all that follows. */
    public void start() {
        servers = ServerList.named(() -> targets(settings), exchanges);
        exchanges.start(servers, targets(settings));
    }

    private static List<Target> targets(TcpSettings settings) {
        List<Target> targets = new ArrayList<>();
        int number = 0;
        for (InetSocketAddress each : settings.servers()) {
            targets.add(new Target(
                    each.getAddress().getHostAddress() + ":" + each.getPort(),
                    each,
                    "",
                    "",
                    number++,
                    settings.draining().contains(each) ? State.DRAINING : State.READY,
                    1,
                    0));
        }
        return targets;
    }

    /** Takes up each connection that the listener makes. */
    public ChannelHandler connections() {
        return front.connections();
    }

    public TcpSettings settings() {
        return settings;
    }

    public StreamCounts counts() {
        return counts;
    }

    /** New settings: streams that are open keep theirs; a server that is not named any more is left. */
    public void retune(TcpSettings next) {
        settings = next;
        exchanges.retune(options(next));
        servers.fetch();
    }

    /** Takes no more streams; those that are open may run on for their grace. */
    public void end() {
        ending = true;
        front.end();
    }

    /** As a lame duck: those that are open are to end within their grace, new ones are still taken. */
    public void empty() {
        front.drain();
    }

    /** Whether no stream is there any more. */
    public boolean isEmpty() {
        return front.empty();
    }

    /** Figures for operators. */
    public void print(StringBuilder to) {
        counts.print(settings.name(), to);
    }
}
