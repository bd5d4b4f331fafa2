package topazvalve.discovery.client;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import topazvalve.core.endpoint.EndpointDiscovery;
import topazvalve.discovery.client.EndpointListState.VersionCheck;
import topazvalve.discovery.state.VersionVector;

/**
 * Gets the endpoint list from discovery over HTTP, by a watch or a one-off fetch, as requested by the policy. Updates
 * that are invalid, incomplete, stale or empty are rejected: the current list stays in force and the reason is
 * logged.
 *
 * <p>If relays are configured, they are called instead of discovery. Failover between relays is invisible to the
 * policy.
 *
 * <p>All methods must be called on the event loop. The listener is called on it as well.
 */
public final class DiscoveryClient implements EndpointDiscovery {
    private final DiscoverySession session;
    private final WatchManager watches;

    /**
     * Creates a client that calls discovery directly.
     *
     * @param loop the event loop of all calls and callbacks
     * @param address the address of discovery
     * @param known the current list and its version
     * @param automaticWatch the timing of a watch that the client keeps open by itself; null if the policy subscribes
     * @param listener is notified of each update and, unless {@code automaticWatch}, each failure
     */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            EndpointUpdate known,
            AutomaticWatchTiming automaticWatch,
            EndpointDiscovery.Listener listener) {
        this(loop, address, known, automaticWatch, null, listener);
    }

    /**
     * Creates a client that calls relays, or discovery directly if {@code relays} is null.
     *
     * @param loop the event loop of all calls and callbacks
     * @param address the address of discovery
     * @param known the current list and its version
     * @param automaticWatch the timing of a watch that the client keeps open by itself; null if the policy subscribes
     * @param relays the relays to call instead of {@code address}; null if there are none
     * @param listener is notified of each update and, unless {@code automaticWatch}, each failure
     */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            EndpointUpdate known,
            AutomaticWatchTiming automaticWatch,
            RelaySelector relays,
            EndpointDiscovery.Listener listener) {
        EndpointListState list = new EndpointListState(known);
        RelayFailover failover = relays == null ? null : new RelayFailover(loop, relays);
        this.session = new DiscoverySession(loop, address, list, automaticWatch, failover, listener);
        this.watches = new WatchManager(session, this::fetch);
    }

    /**
     * Opens a watch and keeps it open if the client was created with an {@link AutomaticWatchTiming}; does nothing
     * otherwise. In this mode the policy does not subscribe by itself.
     */
    public void startAutomaticWatch() {
        if (session.automaticWatch() != null) {
            watch(true);
        }
    }

    /**
     * Replaces the current watch by one that starts at the version of the current list, or closes it.
     *
     * @param enabled whether to open a watch
     */
    @Override
    public void watch(boolean enabled) {
        watches.setEnabled(enabled);
    }

    /**
     * Changes the address of discovery. Open calls are closed and repeated at the new address. Its revisions are
     * unrelated to those of the previous address, so the full list is requested. Does nothing if the address is the
     * same or relays are used.
     */
    public void changeAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(session.discoveryAddress()) || session.usesRelays()) {
            return;
        }
        session.setDiscoveryAddress(newAddress);
        session.list().addressChanged();
        int fetches = closeAllCalls();
        watches.reopen();
        for (int i = 0; i < fetches; i++) {
            fetch();
        }
    }

    /** Closes all calls and returns how many of them were fetches. */
    private int closeAllCalls() {
        int fetches = 0;
        for (EndpointCall call : List.copyOf(session.calls())) {
            fetches += call.isFetch() ? 1 : 0;
            call.close();
        }
        return fetches;
    }

    /** Fetches the full list once. */
    @Override
    public void fetch() {
        new Fetch().open("");
    }

    /** Closes all calls; the listener is not called after this. */
    @Override
    public void close() {
        watches.setEnabled(false);
        closeAllCalls();
    }

    /** Returns the version of the current list for each source; empty if the sender reports none. */
    public VersionVector versions() {
        return session.list().versions();
    }

    /** Returns the revision of the current list, as reported by its sender. */
    public long revision() {
        return session.list().revision();
    }

    /** Appends metrics of the relays, one {@code name=value} per line; nothing if no relays are used. */
    public void printMetrics(StringBuilder to) {
        if (session.usesRelays()) {
            session.relays().printMetrics(to, session.millisSinceLastResponse());
        }
    }

    /** A one-off fetch of the full list. */
    private final class Fetch extends EndpointCall {
        Fetch() {
            super(session, session.callAddress(), false);
        }

        @Override
        boolean isFetch() {
            return true;
        }

        @Override
        VersionCheck versionCheck() {
            // The revisions of different relays are unrelated.
            return session.usesRelays() ? VersionCheck.VERSION_VECTOR : VersionCheck.REVISION_AND_VERSION_VECTOR;
        }

        @Override
        boolean isOutdated(EndpointUpdate update) {
            return false;
        }

        @Override
        boolean acceptResponse() {
            markAnswered();
            return true;
        }

        @Override
        void updateApplied(EndpointUpdate update) {
            watches.ignoreDeltasUpTo(update.revision());
        }

        @Override
        void fetchSnapshot() {
            fetch();
        }

        @Override
        public void heartbeatReceived() {
            // A blank line before the list does not count as a response.
            if (isAnswered()) {
                markAnswered();
            }
        }

        @Override
        public void watchIdle() {
            // Only watches have an idle timeout.
        }

        @Override
        public void responseOverdue() {
            // A relay has no queue and may delay the response on purpose.
            if (!session.usesRelays()) {
                setOverdue(true);
                reportFailure(new DiscoveryFailure.ResponseOverdue());
            }
        }

        @Override
        public void failed(DiscoveryFailure failure, long retryAfterMillis) {
            session.calls().remove(this);
            if (!isOverdue()) {
                reportFailure(failure);
            }
        }

        private void reportFailure(DiscoveryFailure failure) {
            session.callFailed(failure);
            if (session.automaticWatch() == null) {
                session.notifyFailed();
            }
        }
    }
}
