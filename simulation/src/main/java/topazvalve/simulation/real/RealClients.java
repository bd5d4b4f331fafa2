package topazvalve.simulation.real;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.http.LoopbackHttp;
import topazvalve.simulation.model.RandomStream;
import topazvalve.simulation.model.RequestGenerator;

/**
 * The applications that use the sidecars: an open loop over real connections. Latency counts from the time at which a
 * request was meant to be sent, so that delays of the clients themselves are included. All state belongs to the event
 * loop.
 */
final class RealClients {
    private static final int MAX_RESPONSE_BYTES = 1 << 20;

    private final RunState run;
    private final RandomStream random;
    private final List<RequestGenerator> generators = new ArrayList<>();
    /** By instance, the most recently used last. */
    private final List<ArrayDeque<Channel>> idleConnections = new ArrayList<>();

    private long lastId;

    RealClients(RunState run, long seed) {
        this.run = run;
        this.random = RandomStream.named(seed, "clients");
        for (int i = 0; i < run.scenario().fleet().instances(); i++) {
            generators.add(
                    new RequestGenerator(run.scenario(), seed, i, run.topology().trafficPattern()));
            idleConnections.add(new ArrayDeque<>());
        }
    }

    /** Returns the body by which an order server responds to a request; no one else can know it. */
    static String bodyOf(String id) {
        return "done:" + id;
    }

    /** Schedules the first request to each instance. */
    void start() {
        for (int i = 0; i < generators.size(); i++) {
            scheduleNext(i, run.clock().now());
        }
    }

    /** Schedules a request relative to the planned time of the one before, not to when that was really sent. */
    private void scheduleNext(int instance, long previousAt) {
        RequestGenerator generator = generators.get(instance);
        long at = previousAt + Math.max(1, generator.nextGapNanos());
        if (at < run.endsAt()) {
            run.clock().scheduleAt(at, () -> {
                if (generator.arrivesAt(run.sinceStart(at))) {
                    RequestGenerator.GeneratedRequest generated = generator.next();
                    run.statistics().requestSent(generated.requestClass(), run.sinceStart(at));
                    new ClientRequest(run, this, instance, generated, at, false).send();
                }
                scheduleNext(instance, at);
            });
        }
    }

    /** Returns a new number for a request. */
    long nextId() {
        return ++lastId;
    }

    /** Draws whether a request comes on a new connection. */
    boolean drawsNewConnection() {
        return random.nextBoolean(run.scenario().clients().newConnectionFraction());
    }

    /** Opens a connection to an instance. */
    ChannelFuture connect(int instance) {
        return LoopbackHttp.connect(run.loop(), run.port(instance), MAX_RESPONSE_BYTES, () -> newHandler(instance));
    }

    private ClientHandler newHandler(int instance) {
        boolean slowReader = random.nextBoolean(run.scenario().clients().slowReaderFraction());
        return new ClientHandler(run, idleConnections.get(instance), slowReader);
    }

    /** Takes the most recently used idle connection to an instance; returns null if there is none. */
    Channel takeIdleConnection(int instance) {
        ArrayDeque<Channel> idle = idleConnections.get(instance);
        Channel last = idle.pollLast();
        while (last != null && !last.isActive()) {
            last = idle.pollLast();
        }
        return last;
    }
}
