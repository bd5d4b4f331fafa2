package topazvalve.discovery.client;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.discovery.client.EndpointListState.VersionCheck;
import topazvalve.discovery.state.VersionVector;

/**
 * Keeps one watch on the endpoint list open while it is enabled: resubscribes after failures, replaces overdue watches,
 * and with relays opens a second watch to fail back to the first relay. Used on the event loop only.
 */
final class WatchManager {
    private static final Logger LOG = LoggerFactory.getLogger("discovery");

    private final DiscoverySession session;
    private final Runnable fetchSnapshot;
    private boolean enabled;
    /** The watch that is followed or connecting; null between a failure and the next watch. */
    private Watch current;
    /** A watch at the first relay while another relay is followed; null if there is none. */
    private Watch failback;

    /**
     * Creates a manager without a watch.
     *
     * @param fetchSnapshot starts a fetch of the full list
     */
    WatchManager(DiscoverySession session, Runnable fetchSnapshot) {
        this.session = session;
        this.fetchSnapshot = fetchSnapshot;
    }

    /** Sets whether to keep a watch open, then closes and opens watches as {@link #reopen} does. */
    void setEnabled(boolean enabled) {
        this.enabled = enabled;
        reopen();
    }

    /**
     * Closes the current watch and any failback in progress, and opens a new watch if enabled. Overdue watches stay
     * open until they are answered or fail.
     */
    void reopen() {
        closeWatches();
        if (enabled) {
            if (session.usesRelays()) {
                session.relays().restart();
            }
            openCurrent();
        }
    }

    private void closeWatches() {
        if (current != null) {
            current.close();
            current = null;
        }
        if (failback != null) {
            failback.close();
            failback = null;
        }
    }

    private void openCurrent() {
        current = new Watch(session.callAddress());
        current.subscribe();
    }

    private void reopenCurrent() {
        if (enabled && current == null) {
            openCurrent();
        }
    }

    private void connectToNextRelay() {
        if (enabled && current == null) {
            session.relays().connecting();
            openCurrent();
        }
    }

    private void tryFailback() {
        if (!enabled || failback != null) {
            return;
        }
        InetSocketAddress address = session.relays().failbackAddress();
        if (address != null) {
            failback = new Watch(address);
            failback.subscribe();
        }
    }

    private void scheduleFailback() {
        session.relays().scheduleFailback(this::tryFailback);
    }

    private void replaceCurrent(Watch watch) {
        if (current != null) {
            current.close();
        }
        current = watch;
    }

    /** Makes the current watch ignore deltas up to this revision, which a fetched snapshot already contains. */
    void ignoreDeltasUpTo(long revision) {
        if (current != null) {
            current.snapshotRevision = revision;
        }
    }

    private final class Watch extends EndpointCall {
        private static final long NO_SNAPSHOT = -1;

        /** The revision of the last snapshot that was fetched while this watch was current. */
        private long snapshotRevision = NO_SNAPSHOT;

        Watch(InetSocketAddress address) {
            super(session, address, true);
        }

        void subscribe() {
            VersionVector versions = session.list().versions();
            String query = "?watch=1&from=" + session.list().revision();
            open(versions.isEmpty() ? query : query + "&versions=" + versions);
        }

        @Override
        boolean isFetch() {
            return false;
        }

        @Override
        VersionCheck versionCheck() {
            return isAnswered() ? VersionCheck.NONE : VersionCheck.VERSION_VECTOR;
        }

        @Override
        boolean isOutdated(EndpointUpdate update) {
            return !update.fullSnapshot() && update.revision() <= snapshotRevision;
        }

        @Override
        void updateApplied(EndpointUpdate update) {
            // Nothing to do: later updates arrive on this watch.
        }

        @Override
        void fetchSnapshot() {
            fetchSnapshot.run();
        }

        @Override
        boolean acceptResponse() {
            if (isOverdue() && !takeOver()) {
                close();
                return false;
            }
            boolean first = !isAnswered();
            markAnswered();
            if (first && session.usesRelays()) {
                relayResponded();
            }
            return true;
        }

        /** Makes this overdue watch the current one, unless its replacement was answered first. */
        private boolean takeOver() {
            boolean replacementAnswered = current != null && current.isAnswered();
            if (!enabled || replacementAnswered) {
                return false;
            }
            replaceCurrent(this);
            return true;
        }

        private void relayResponded() {
            if (failback == this) {
                failback = null;
                replaceCurrent(this);
                session.relays().failedBack();
            } else {
                session.relays().responded();
                scheduleFailback();
            }
        }

        @Override
        public void heartbeatReceived() {
            boolean first = !isAnswered();
            if (acceptResponse() && first) {
                session.notifyUnchanged();
            }
        }

        /**
         * {@inheritDoc}
         *
         * <p>The next watch is opened without backoff. An idle watch is no sign of overload, and sidecars whose watches
         * become idle together detect it at times that are spread over a heartbeat interval.
         */
        @Override
        public void watchIdle() {
            if (session.usesRelays()) {
                fail(new DiscoveryFailure.IdleWatch(DiscoveryCall.IDLE_TIMEOUT_MILLIS));
            } else if (current == this) {
                LOG.warn("endpoint watch idle for {} ms, resubscribing", DiscoveryCall.IDLE_TIMEOUT_MILLIS);
                reopen();
            }
        }

        /**
         * {@inheritDoc}
         *
         * <p>Opens the next watch while this one keeps its place in discovery's queue; the one that is answered first
         * is followed. Does nothing with relays, which have no queue and may delay the response on purpose.
         */
        @Override
        public void responseOverdue() {
            if (!session.usesRelays()) {
                setOverdue(true);
                resubscribe(new DiscoveryFailure.ResponseOverdue(), 0);
            }
        }

        @Override
        public void failed(DiscoveryFailure failure, long retryAfterMillis) {
            session.calls().remove(this);
            if (failback == this) {
                failback = null;
                scheduleFailback();
            } else if (!isOverdue()) {
                resubscribe(failure, retryAfterMillis);
            }
        }

        /**
         * Arranges for the next watch. With relays, the next relay is tried. Without relays, the policy is notified
         * and subscribes again, or this manager does so after a backoff if the watch is automatic.
         */
        private void resubscribe(DiscoveryFailure failure, long retryAfterMillis) {
            session.callFailed(failure);
            boolean wasCurrent = current == this;
            if (wasCurrent) {
                current = null;
            }
            if (wasCurrent && session.usesRelays()) {
                session.relays().scheduleReconnect(retryAfterMillis, WatchManager.this::connectToNextRelay);
            } else if (session.automaticWatch() == null) {
                session.notifyFailed();
            } else if (wasCurrent) {
                // The policy did not subscribe, so it is not notified and does not resubscribe.
                int backoffMillis = session.automaticWatch().backoffMillis();
                session.loop().schedule(WatchManager.this::reopenCurrent, backoffMillis, TimeUnit.MILLISECONDS);
            }
        }
    }
}
