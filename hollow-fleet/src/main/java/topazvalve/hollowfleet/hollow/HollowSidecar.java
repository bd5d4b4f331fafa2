package topazvalve.hollowfleet.hollow;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.function.LongSupplier;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.hollowfleet.history.ChangeHistory;
import topazvalve.policy.SettingsReader;
import topazvalve.policy.UpdateKind;

/**
 * A sidecar without a request path, which can be killed and restarted. It keeps its current endpoint list and the
 * time since which it has been able to follow its source. Confined to one event loop.
 */
final class HollowSidecar {
    /** The policy receives only servers with numbers below this bound. */
    static final int MAX_POLICY_ENDPOINTS = 8;

    private final int number;
    private final Placement placement;
    private final EventLoop loop;
    private final SettingsReader settings;
    private final LongSupplier clock;
    private final HollowSidecarListener listener;
    private final TrafficCounter trafficCounter;
    private final EventLoop countedLoop;
    private final EndpointView endpoints;
    /** Null while the sidecar is down. */
    private HollowSidecarIncarnation incarnation;

    private boolean startPending;
    private boolean hasList;
    private boolean hasResponse;
    private boolean sourceReachable = true;
    private long reachableSinceNanos;

    /** Creates a sidecar that is down; {@code clock} is the clock of {@code history}. */
    HollowSidecar(
            int number,
            Placement placement,
            EventLoop loop,
            SettingsReader settings,
            LongSupplier clock,
            ChangeHistory history,
            HollowSidecarListener listener) {
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

    /** Starts a new incarnation, which knows an initial list. */
    void start(long seed, InitialEndpointList initialList) {
        startPending = false;
        endpoints.reset(initialList);
        hasList = initialList.revision() != 0;
        hasResponse = false;
        reachableSinceNanos = clock.getAsLong();
        incarnation = new HollowSidecarIncarnation(
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

    /** Records that a start is scheduled; the sidecar counts as behind until it has started. */
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

    /** Records whether the sidecar can reach its source or a relay from now on. */
    void setSourceReachable(boolean reachable) {
        if (reachable && !sourceReachable) {
            reachableSinceNanos = clock.getAsLong();
        }
        sourceReachable = reachable;
    }

    /** Enables or disables reading from the sidecar's connections. */
    void setReadingEnabled(boolean enabled) {
        trafficCounter.setReadingEnabled(enabled);
    }

    /** Returns whether the sidecar is up and can reach its source, and is thus required to follow its list. */
    boolean canFollow() {
        return incarnation != null && sourceReachable;
    }

    /** Returns the time since which the sidecar has been up and able to reach its source. */
    long reachableSinceNanos() {
        return reachableSinceNanos;
    }

    /** Returns whether a start is scheduled that has not happened yet. */
    boolean isStartPending() {
        return startPending;
    }

    /** Returns whether the sidecar has an endpoint list, either received or known at its start. */
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

    /** Returns the number of the endpoint list that the sidecar follows. */
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

    /** Returns the current endpoint list. */
    EndpointView endpoints() {
        return endpoints;
    }
}
