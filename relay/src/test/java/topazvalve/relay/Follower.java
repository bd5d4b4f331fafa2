package topazvalve.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import topazvalve.core.servers.Target;
import topazvalve.decisions.Balancer.ListKind;
import topazvalve.decisions.Balancer.State;
import topazvalve.lists.Following;
import topazvalve.sidecar.discovery.Discovery;
import topazvalve.sidecar.discovery.Listing;
import topazvalve.sidecar.discovery.Relays;

/** A sidecar's real reader, and what it has in force. Its order of relays is the one that a test gives. */
final class Follower implements AutoCloseable {
    private static final long LIMIT_S = 30;

    private final EventLoop loop;
    private final Discovery discovery;
    private final Map<String, State> servers = new TreeMap<>();
    /** Every state that a server was ever in here, in order. */
    private final Map<String, List<State>> history = new HashMap<>();

    private int wholes;

    Follower(EventLoop loop, Relay... relays) {
        this(loop, Listing.NONE, relays);
    }

    Follower(EventLoop loop, Listing known, Relay... relays) {
        this.loop = loop;
        List<InetSocketAddress> order = new ArrayList<>();
        for (Relay each : relays) {
            order.add(each.address());
        }
        discovery = new Discovery(
                loop,
                new InetSocketAddress("127.0.0.1", 1),
                known,
                null,
                new Relays(order, new Following(order.size(), new SplittableRandom(1))),
                this::listed);
        loop.execute(() -> discovery.watch(true));
    }

    private synchronized void listed(ListKind kind, List<Target> targets) {
        if (kind == ListKind.FULL) {
            wholes++;
            servers.clear();
        }
        for (Target each : targets) {
            servers.put(each.uid(), each.state());
            history.computeIfAbsent(each.uid(), uid -> new ArrayList<>()).add(each.state());
        }
        servers.values().removeIf(state -> state == State.GONE);
        notifyAll();
    }

    /** Waits until what is in force is as wanted. */
    synchronized void await(String what, Predicate<Map<String, State>> wanted) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
        while (!wanted.test(servers)) {
            long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
            assertTrue(left > 0, () -> what + " did not come; there is " + servers);
            wait(left);
        }
    }

    void awaitState(String uid, State state) throws InterruptedException {
        await(uid + " " + state, servers -> servers.get(uid) == (state == State.GONE ? null : state));
    }

    synchronized List<State> history(String uid) {
        return List.copyOf(history.getOrDefault(uid, List.of()));
    }

    synchronized int wholes() {
        return wholes;
    }

    String versions() throws Exception {
        return loop.submit(() -> discovery.versions().toString()).get();
    }

    @Override
    public void close() {
        loop.submit(discovery::close).syncUninterruptibly();
    }
}
