package topazvalve.discovery.client;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.core.endpoint.EndpointDiscovery;
import topazvalve.policy.UpdateKind;

/**
 * The state that all calls of one {@link DiscoveryClient} share: the address to call, the endpoint list, the listener,
 * and when the last response was received. Used on the event loop only.
 */
final class DiscoverySession {
    private static final Logger LOG = LoggerFactory.getLogger("discovery");

    private final EventLoop loop;
    private final EndpointDiscovery.Listener listener;
    private final EndpointListState list;
    /** Null if the policy decides when to call again after a failure. */
    private final AutomaticWatchTiming automaticWatch;
    /** Null if discovery is called directly. */
    private final RelayFailover relays;

    private final Set<EndpointCall> calls = new HashSet<>();
    private InetSocketAddress discoveryAddress;
    /** Null if the last call did not fail. This is the text because the first equals() of a record loads 70 classes. */
    private String lastFailureMessage;

    private long lastResponseNanos = System.nanoTime();

    DiscoverySession(
            EventLoop loop,
            InetSocketAddress discoveryAddress,
            EndpointListState list,
            AutomaticWatchTiming automaticWatch,
            RelayFailover relays,
            EndpointDiscovery.Listener listener) {
        this.loop = loop;
        this.discoveryAddress = discoveryAddress;
        this.list = list;
        this.automaticWatch = automaticWatch;
        this.relays = relays;
        this.listener = listener;
    }

    EventLoop loop() {
        return loop;
    }

    EndpointListState list() {
        return list;
    }

    AutomaticWatchTiming automaticWatch() {
        return automaticWatch;
    }

    RelayFailover relays() {
        return relays;
    }

    boolean usesRelays() {
        return relays != null;
    }

    /** Returns the calls that have neither failed nor been closed by {@link EndpointCall#close}. */
    Set<EndpointCall> calls() {
        return calls;
    }

    InetSocketAddress discoveryAddress() {
        return discoveryAddress;
    }

    void setDiscoveryAddress(InetSocketAddress address) {
        discoveryAddress = address;
    }

    /** Returns the address of the next call: the current relay or discovery. */
    InetSocketAddress callAddress() {
        return relays == null ? discoveryAddress : relays.currentAddress();
    }

    int connectTimeoutMillis() {
        return automaticWatch == null ? DiscoveryCall.CONNECT_TIMEOUT_MILLIS : automaticWatch.connectTimeoutMillis();
    }

    /** Records that a call has received an update or a heartbeat. */
    void responseReceived() {
        lastFailureMessage = null;
        lastResponseNanos = System.nanoTime();
    }

    long millisSinceLastResponse() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastResponseNanos);
    }

    /** Records that a call has failed, and logs it unless it is the same failure as the last one. */
    void callFailed(DiscoveryFailure failure) {
        String message = failure.message();
        if (!message.equals(lastFailureMessage)) {
            LOG.warn("endpoint update failed, keeping the current endpoint list: {}", message);
        }
        lastFailureMessage = message;
    }

    /** Notifies the listener of an update. */
    void notifyUpdated(UpdateKind kind, List<Endpoint> endpoints) {
        listener.endpointsUpdated(kind, endpoints);
    }

    /** Notifies the listener that nothing has changed. */
    void notifyUnchanged() {
        listener.endpointsUpdated(UpdateKind.DELTA, List.of());
    }

    /** Notifies the listener of a failure; the policy decides when to call again. */
    void notifyFailed() {
        listener.endpointsUpdated(UpdateKind.FAILED, List.of());
    }
}
