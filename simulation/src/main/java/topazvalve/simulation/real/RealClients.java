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
 * The applications that use the sidecars: an open-loop load over real connections. Latency counts from the planned send
 * time of a request, so that delays of the clients themselves are included. Confined to the event loop.
 */
final class RealClients {
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final String LONG_RESPONSE_PADDING = " ".repeat(104_000);

    private final RunState run;
    private final RandomStream random;
    private final List<RequestGenerator> generators = new ArrayList<>();
    /** The idle connections by instance, the most recently used last. */
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

    /** Returns the body of a server's response to a request, by which clients detect forged responses. */
    static String responseBody(String id) {
        return "done:" + id;
    }

    /** Returns the body of a long response to a request. */
    static String longResponseBody(String id) {
        return responseBody(id) + LONG_RESPONSE_PADDING;
    }

    /** Returns whether a body is one of the two that a server may send in response to a request. */
    static boolean isResponseTo(String id, String body) {
        return body.equals(responseBody(id)) || body.equals(longResponseBody(id));
    }

    /** Schedules the first request to each instance. */
    void start() {
        for (int i = 0; i < generators.size(); i++) {
            scheduleNext(i, run.clock().now());
        }
    }

    /** Schedules a request relative to the planned send time of the previous one, not to its actual send time. */
    private void scheduleNext(int instance, long previousPlannedAt) {
        RequestGenerator generator = generators.get(instance);
        long plannedAt = previousPlannedAt + Math.max(1, generator.nextGapNanos());
        if (plannedAt < run.endsAt()) {
            run.clock().scheduleAt(plannedAt, () -> {
                if (generator.arrivesAt(run.sinceStart(plannedAt))) {
                    RequestGenerator.GeneratedRequest generated = generator.next();
                    run.statistics().requestSent(generated.requestClass(), run.sinceStart(plannedAt));
                    new ClientRequest(run, this, instance, generated, plannedAt, false).send();
                }
                scheduleNext(instance, plannedAt);
            });
        }
    }

    /** Returns the number of a new request. */
    long nextId() {
        return ++lastId;
    }

    /** Draws whether a request is sent on a new connection. */
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
