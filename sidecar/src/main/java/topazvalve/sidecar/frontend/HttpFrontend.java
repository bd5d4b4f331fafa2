package topazvalve.sidecar.frontend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import topazvalve.core.Frontend;
import topazvalve.core.classes.ClassTable;
import topazvalve.core.exchange.ExchangeHandler;
import topazvalve.core.lifecycle.Lifecycle;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.time.EventLoopScheduler;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;

/**
 * The application's side: reads requests, answers each once, and tells malformed ones so itself. A client
 * that sends what can't be used is told at once, and its connection ends; nobody holds one for longer than a
 * request takes.
 */
public final class HttpFrontend implements Frontend {
    /** A request's id is held to be in use for a while after its answer: clients never use one again. */
    private static final long ID_TIME = 2_000_000_000L;

    private static final long SWEEP_MS = 100;

    private record Past(String id, long at) {}

    private final ExchangeHandler<UpstreamRequest, UpstreamResponse> intake;
    private final RequestReader reader;
    private final EventLoop loop;
    private final EvictionPolicy room;
    private boolean makingRoom;
    private int mostHeld;
    private Runnable whenMoreAreHeld = () -> {};
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final Set<String> ids = new HashSet<>();
    private final ArrayDeque<Past> past = new ArrayDeque<>();
    private final Lifecycle lifecycle;
    private final ByteBudget budget;
    private final Future<?> sweeping;

    /** Serves on this loop. */
    public HttpFrontend(
            EventLoop loop,
            ExchangeHandler<UpstreamRequest, UpstreamResponse> intake,
            ClassTable classes,
            List<String> tenantNames,
            int mostConnections,
            Lifecycle lifecycle,
            ByteBudget budget) {
        this.intake = intake;
        this.budget = budget;
        this.lifecycle = lifecycle;
        this.reader = new RequestReader(classes, tenantNames);
        this.loop = loop;
        this.room = new EvictionPolicy(mostConnections);
        this.mostHeld = mostConnections;
        sweeping = loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** There are requests on a connection at once, whatever {@code /up} says. */
    @Override
    public ChannelHandler connectionInitializer() {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel made) {
                ClientConnection connection =
                        new ClientConnection(HttpFrontend.this, intake, reader, lifecycle, budget, made);
                connections.add(connection);
                made.pipeline().addLast(new HttpResponseEncoder(), connection.decoder(), connection);
                requireRoom();
            }
        };
    }

    @Override
    public void stop() {
        sweeping.cancel(false);
    }

    @Override
    public boolean isIdle() {
        return connections.isEmpty();
    }

    /**
     * Closes those that are missed least once all has been read that is there: who is about to be closed may
     * have sent a request. Danger: its closing is heard of later than the next one comes, and must count now.
     */
    private void requireRoom() {
        if (makingRoom || connections.size() <= room.most()) {
            return;
        }
        makingRoom = true;
        loop.execute(() -> {
            long heardUntil = System.nanoTime();
            EventLoopScheduler.afterNextSelect(loop, () -> makeRoom(heardUntil));
        });
    }

    private void makeRoom(long heardUntil) {
        makingRoom = false;
        int over = connections.size() - room.most();
        if (over > 0) {
            for (ClientConnection each : room.leastMissed(connections, over, System.nanoTime(), heardUntil)) {
                left(each);
                each.close();
            }
        }
        int before = mostHeld;
        mostHeld = Math.max(room.most(), EvictionPolicy.requests(connections));
        if (mostHeld > before) {
            whenMoreAreHeld.run();
        }
    }

    /** How many connections are kept, beside some on their way in or out: more where more have requests. */
    public int mostHeld() {
        return mostHeld;
    }

    /** Calls this whenever {@link #mostHeld} has grown. */
    public void whenMoreAreHeld(Runnable told) {
        whenMoreAreHeld = told;
    }

    /** A connection's request has begun, or ended so that it may have to make room. */
    void requestChanged() {
        requireRoom();
    }

    private void sweep() {
        long now = System.nanoTime();
        for (ClientConnection connection : List.copyOf(connections)) {
            connection.checkTime(now);
        }
        requireRoom();
        while (!past.isEmpty() && now - past.peek().at > ID_TIME) {
            ids.remove(past.poll().id);
        }
    }

    /** Whether nobody uses a request's id, nor has of late; from now on it is in use. */
    boolean takeId(String id) {
        return ids.add(id);
    }

    /** Its request is no more; the id counts as in use for a while yet. */
    void releaseId(String id) {
        past.add(new Past(id, System.nanoTime()));
    }

    void left(ClientConnection connection) {
        connections.remove(connection);
    }
}
