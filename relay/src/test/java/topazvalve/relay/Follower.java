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
import topazvalve.policy.EndpointStatus;
import topazvalve.policy.UpdateKind;

/**
 * The discovery client of a sidecar and the endpoints that it currently has. The test gives the order of its relays.
 */
final class Follower implements AutoCloseable {
    private static final long TIMEOUT_SECONDS = 30;

    private final EventLoop loop;
    private final DiscoveryClient discovery;
    private final Map<String, EndpointStatus> statuses = new TreeMap<>();
    /** All statuses that each endpoint has had, in order. */
    private final Map<String, List<EndpointStatus>> history = new HashMap<>();

    private int snapshotCount;

    Follower(EventLoop loop, DiscoveryRelay... relays) {
        this(loop, EndpointUpdate.NONE, relays);
    }

    Follower(EventLoop loop, EndpointUpdate known, DiscoveryRelay... relays) {
        this.loop = loop;
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (DiscoveryRelay each : relays) {
            addresses.add(each.address());
        }
        discovery = new DiscoveryClient(
                loop,
                new InetSocketAddress("127.0.0.1", 1),
                known,
                null,
                new RelaySelector(addresses, new FailoverStateMachine(addresses.size(), new SplittableRandom(1))),
                this::updated);
        loop.execute(() -> discovery.watch(true));
    }

    private synchronized void updated(UpdateKind kind, List<Endpoint> endpoints) {
        if (kind == UpdateKind.FULL) {
            snapshotCount++;
            statuses.clear();
        }
        for (Endpoint each : endpoints) {
            statuses.put(each.uid(), each.status());
            history.computeIfAbsent(each.uid(), uid -> new ArrayList<>()).add(each.status());
        }
        statuses.values().removeIf(status -> status == EndpointStatus.REMOVED);
        notifyAll();
    }

    /** Waits until the current endpoints are as expected; fails the test after the timeout. */
    synchronized void await(String description, Predicate<Map<String, EndpointStatus>> expected)
            throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!expected.test(statuses)) {
            long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            assertTrue(leftMillis > 0, () -> description + " expected, but endpoints are " + statuses);
            wait(leftMillis);
        }
    }

    void awaitStatus(String uid, EndpointStatus status) throws InterruptedException {
        await(uid + " " + status, statuses -> statuses.get(uid) == (status == EndpointStatus.REMOVED ? null : status));
    }

    synchronized List<EndpointStatus> history(String uid) {
        return List.copyOf(history.getOrDefault(uid, List.of()));
    }

    synchronized int snapshotCount() {
        return snapshotCount;
    }

    String versions() throws Exception {
        return loop.submit(() -> discovery.versions().toString()).get();
    }

    @Override
    public void close() {
        loop.submit(discovery::close).syncUninterruptibly();
    }
}
