package topazvalve.hollowfleet.hollow;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.function.LongSupplier;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.hollowfleet.history.ChangeHistory;
import topazvalve.policy.SettingsReader;
import topazvalve.policy.UpdateKind;

/**
 * A sidecar without a request path, which can be killed and started again. It keeps the endpoint list that is in
 * force and knows since when it could have followed its source. Used on one event loop.
 */
final class HollowSidecar {
    /** The policy receives only servers with numbers below this. */
    static final int POLICY_ENDPOINTS = 8;

    private final int number;
    private final Placement placement;
    private final EventLoop loop;
    private final SettingsReader settings;
    private final LongSupplier clock;
    private final HollowListener listener;
    private final TrafficCounter trafficCounter;
    private final EventLoop countedLoop;
    private final EndpointView endpoints;
    /** Null while the sidecar is down. */
    private HollowIncarnation incarnation;

    private boolean startPending;
    private boolean hasList;
    private boolean hasResponse;
    private boolean sourceReachable = true;
    private long reachableSinceNanos;

    /** Creates a sidecar that is down; {@code clock} has the time of {@code history}. */
    HollowSidecar(
            int number,
            Placement placement,
            EventLoop loop,
            SettingsReader settings,
            LongSupplier clock,
            ChangeHistory history,
            HollowListener listener) {
        this.number = number;
        this.placement = placement;
        this.loop = loop;
        this.settings = settings;
        this.clock = clock;
        this.listener = listener;
        this.trafficCounter = new TrafficCounter(loop);
        this.countedLoop = trafficCounter.countedLoop();
        this.endpoints = new EndpointView(history);
    }

    /** Starts a new incarnation with a list that it knows. */
    void start(long seed, InitialEndpointList initialList) {
        startPending = false;
        endpoints.reset(initialList);
        hasList = initialList.revision() != 0;
        hasResponse = false;
        reachableSinceNanos = clock.getAsLong();
        incarnation = new HollowIncarnation(
                "hollow-" + number,
                seed,
                loop,
                countedLoop,
                placement.addresses(),
                settings,
                initialList,
                this::endpointsUpdated);
        incarnation.start();
    }

    private void endpointsUpdated(UpdateKind kind, List<Endpoint> updated) {
        if (kind == UpdateKind.FAILED) {
            return;
        }
        endpoints.apply(kind, updated, entry -> listener.entryReplaced(this, entry));
        boolean firstResponse = !hasResponse;
        boolean firstList = !hasList && kind == UpdateKind.FULL;
        hasResponse = true;
        hasList |= firstList;
        listener.listUpdated(this, firstResponse, firstList);
    }

    /** Notes that a start is scheduled; the sidecar counts as behind until then. */
    void startScheduled() {
        startPending = true;
    }

    /** Ends the incarnation: its connections are closed, and its timers have no effect. */
    void kill() {
        if (incarnation != null) {
            incarnation.end();
            incarnation = null;
        }
    }

    /** Notes whether the sidecar can reach its source or a relay from now on. */
    void setSourceReachable(boolean reachable) {
        if (reachable && !sourceReachable) {
            reachableSinceNanos = clock.getAsLong();
        }
        sourceReachable = reachable;
    }

    /** Stops or continues reading from the sidecar's connections. */
    void setReadingEnabled(boolean enabled) {
        trafficCounter.setReadingEnabled(enabled);
    }

    /** Returns whether the sidecar is up and can reach its source, so that it has to follow its list. */
    boolean hasToFollow() {
        return incarnation != null && sourceReachable;
    }

    /** Returns since when the sidecar has been up with its source in reach. */
    long reachableSinceNanos() {
        return reachableSinceNanos;
    }

    /** Returns whether a start is scheduled and has not happened. */
    boolean isStartPending() {
        return startPending;
    }

    /** Returns whether the sidecar has a list, received or known from its start. */
    boolean hasList() {
        return hasList;
    }

    /** Returns whether the sidecar has received a response since its start. */
    boolean hasResponse() {
        return hasResponse;
    }

    int number() {
        return number;
    }

    int zone() {
        return placement.zone();
    }

    /** Returns the number of the endpoint list that it has to have in force. */
    int list() {
        return placement.list();
    }

    EventLoop loop() {
        return loop;
    }

    /** Returns the bytes read and written since the sidecar was created. */
    long trafficBytes() {
        return trafficCounter.bytes();
    }

    /** Returns the endpoint list in force. */
    EndpointView endpoints() {
        return endpoints;
    }
}
