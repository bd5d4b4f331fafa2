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
import topazvalve.core.endpoint.Endpoint;
import topazvalve.discovery.client.DiscoveryClient;
import topazvalve.discovery.client.EndpointUpdate;
import topazvalve.discovery.client.RelaySelector;
import topazvalve.discovery.state.FailoverStateMachine;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.policy.LoadBalancer.UpdateKind;

/** A sidecar's real reader, and what it has in force. Its order of relays is the one that a test gives. */
final class Follower implements AutoCloseable {
    private static final long LIMIT_S = 30;

    private final EventLoop loop;
    private final DiscoveryClient discovery;
    private final Map<String, EndpointStatus> servers = new TreeMap<>();
    /** Every state that a server was ever in here, in order. */
    private final Map<String, List<EndpointStatus>> history = new HashMap<>();

    private int wholes;

    Follower(EventLoop loop, DiscoveryRelay... relays) {
        this(loop, EndpointUpdate.NONE, relays);
    }

    Follower(EventLoop loop, EndpointUpdate known, DiscoveryRelay... relays) {
        this.loop = loop;
        List<InetSocketAddress> order = new ArrayList<>();
        for (DiscoveryRelay each : relays) {
            order.add(each.address());
        }
        discovery = new DiscoveryClient(
                loop,
                new InetSocketAddress("127.0.0.1", 1),
                known,
                null,
                new RelaySelector(order, new FailoverStateMachine(order.size(), new SplittableRandom(1))),
                this::listed);
        loop.execute(() -> discovery.watch(true));
    }

    private synchronized void listed(UpdateKind kind, List<Endpoint> targets) {
        if (kind == UpdateKind.FULL) {
            wholes++;
            servers.clear();
        }
        for (Endpoint each : targets) {
            servers.put(each.uid(), each.status());
            history.computeIfAbsent(each.uid(), uid -> new ArrayList<>()).add(each.status());
        }
        servers.values().removeIf(state -> state == EndpointStatus.REMOVED);
        notifyAll();
    }

    /** Waits until what is in force is as wanted. */
    synchronized void await(String what, Predicate<Map<String, EndpointStatus>> wanted) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
        while (!wanted.test(servers)) {
            long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
            assertTrue(left > 0, () -> what + " did not come; there is " + servers);
            wait(left);
        }
    }

    void awaitState(String uid, EndpointStatus state) throws InterruptedException {
        await(uid + " " + state, servers -> servers.get(uid) == (state == EndpointStatus.REMOVED ? null : state));
    }

    synchronized List<EndpointStatus> history(String uid) {
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
