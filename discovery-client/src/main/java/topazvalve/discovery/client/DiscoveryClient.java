package topazvalve.discovery.client;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import topazvalve.core.endpoint.EndpointDiscovery;
import topazvalve.discovery.client.EndpointListState.VersionCheck;
import topazvalve.discovery.state.VersionVector;

/**
 * Gets the endpoint list from discovery over HTTP: by a watch on its changes or by a one-off fetch, whenever the
 * policy asks for it. Updates that are invalid, incomplete, stale or empty are rejected: the current list stays in
 * force and the reason is logged.
 *
 * <p>If there are relays, they are called instead of discovery. Failover between relays is not visible to the policy.
 *
 * <p>All methods have to be called on the event loop, on which the listener is called as well.
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
     * @param automaticWatch the timing if the client keeps a watch open by itself; null if the policy subscribes
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
     * @param automaticWatch the timing if the client keeps a watch open by itself; null if the policy subscribes
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
     * Opens a watch and keeps it open from now on, if the client was created with a {@link AutomaticWatchTiming}; does
     * nothing otherwise. In this mode the policy does not subscribe by itself.
     */
    public void startAutomaticWatch() {
        if (session.automaticWatch() != null) {
            watch(true);
        }
    }

    /**
     * Opens a watch from the version of the current list on, in place of the present one, or closes it.
     *
     * @param on whether to open a watch
     */
    @Override
    public void watch(boolean on) {
        watches.setWanted(on);
    }

    /**
     * Changes the address of discovery. Open calls are closed and made again at the new address. Its revisions have
     * no relation to those of the previous address, so that the full list is requested. Does nothing if the address
     * is the same or relays are used.
     */
    public void changeAddress(InetSocketAddress to) {
        if (to.equals(session.discoveryAddress()) || session.usesRelays()) {
            return;
        }
        session.setDiscoveryAddress(to);
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

    /** Closes all calls; the listener is not called any more. */
    @Override
    public void close() {
        watches.setWanted(false);
        closeAllCalls();
    }

    /** Returns the version of the current list at each source; empty if none is reported. */
    public VersionVector versions() {
        return session.list().versions();
    }

    /** Returns the revision of the current list, as counted by the peer that sent it. */
    public long revision() {
        return session.list().revision();
    }

    /** Appends metrics of the relays, a {@code name=value} on each line; nothing if no relays are used. */
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
            // The revisions of different relays have no relation to each other.
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
            // A blank line before the list is no response yet.
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
            // A relay has no queue and may hold a call on purpose.
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
