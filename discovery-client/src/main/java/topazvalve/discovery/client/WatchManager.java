package topazvalve.discovery.client;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.discovery.client.EndpointListState.VersionCheck;
import topazvalve.discovery.state.VersionVector;

/**
 * Keeps one watch on the endpoint list open while it is wanted: resubscribes after failures, replaces overdue calls,
 * and with relays opens a second watch to fail back to the first relay. Used on the event loop only.
 */
final class WatchManager {
    private static final Logger LOG = LoggerFactory.getLogger("discovery");

    private final DiscoverySession session;
    private final Runnable fetchSnapshot;
    private boolean wanted;
    /** The watch that is followed or connecting; null between a failure and the next one. */
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

    /** Sets whether a watch is wanted, and closes or opens watches as {@link #reopen} does. */
    void setWanted(boolean wanted) {
        this.wanted = wanted;
        reopen();
    }

    /**
     * Closes the current watch and a failback in progress, and opens a new watch if one is wanted. Overdue watches
     * stay open until they are answered or fail.
     */
    void reopen() {
        closeWatches();
        if (wanted) {
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
        if (wanted && current == null) {
            openCurrent();
        }
    }

    private void connectToNextRelay() {
        if (wanted && current == null) {
            session.relays().connecting();
            openCurrent();
        }
    }

    private void tryFailback() {
        if (!wanted || failback != null) {
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

    /** Makes the current watch ignore deltas up to this revision, as a fetched snapshot contains them. */
    void ignoreDeltasUpTo(long revision) {
        if (current != null) {
            current.snapshotRevision = revision;
        }
    }

    private final class Watch extends EndpointCall {
        private static final long NO_SNAPSHOT = -1;

        /** The revision of the last snapshot that was fetched while this watch was the current one. */
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
            // The watch itself reports what comes after this update.
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

        /** Becomes the current watch although it is overdue, unless the one opened meanwhile was answered first. */
        private boolean takeOver() {
            boolean replacementAnswered = current != null && current.isAnswered();
            if (!wanted || replacementAnswered) {
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
         * <p>The next watch is opened without backoff: idle watches are no sign of overload, and sidecars whose
         * watches become idle together notice it spread over the time between two heartbeats.
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
         * <p>The next watch is opened while this one keeps its place in discovery's queue; the one that is answered
         * first is followed. Relays have no queue and may hold a call on purpose, so that nothing is done there.
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
         * Arranges for the next watch: with relays the next relay is tried; without, the policy is notified of the
         * failure and subscribes again, or, where lists are pushed, this manager does so after a backoff.
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
                // The policy did not subscribe, so it is not notified and does not call again.
                int backoffMillis = session.automaticWatch().backoffMillis();
                session.loop().schedule(WatchManager.this::reopenCurrent, backoffMillis, TimeUnit.MILLISECONDS);
            }
        }
    }
}
