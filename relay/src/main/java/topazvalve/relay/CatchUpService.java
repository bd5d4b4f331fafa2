package topazvalve.relay;

import io.netty.buffer.ByteBuf;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import topazvalve.discovery.state.EndpointStore;
import topazvalve.discovery.state.EndpointStore.CatchUp;
import topazvalve.discovery.state.EndpointStore.Entry;
import topazvalve.discovery.state.VersionVector;

/**
 * Brings subscribers up to date and forwards changes to them. {@link EndpointStore} decides what a subscriber lacks;
 * this class decides when to send it, and parks a subscriber that cannot be answered yet. Used on the event loop only.
 */
final class CatchUpService {
    /**
     * The maximum time for which a watch is parked. It is shorter than the response timeout of clients and longer than
     * the heartbeat interval of sources ({@code docs/design/relay.md}, "Versions never go back").
     */
    private static final long PARK_TIMEOUT_MILLIS = 2_250;

    private static final long PARK_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(PARK_TIMEOUT_MILLIS);

    private final EndpointStore store;
    private final SourceGroup sources;
    private final SubscriberRegistry subscribers;
    private final SnapshotCache snapshots;
    private final RequestRejector rejector;
    private final RelayMetrics metrics;

    CatchUpService(
            EndpointStore store,
            SourceGroup sources,
            SubscriberRegistry subscribers,
            SnapshotCache snapshots,
            RequestRejector rejector,
            RelayMetrics metrics) {
        this.store = store;
        this.sources = sources;
        this.subscribers = subscribers;
        this.snapshots = snapshots;
        this.rejector = rejector;
        this.metrics = metrics;
    }

    /** Answers a request that is not a watch. */
    void sendSnapshotAndClose(Subscriber subscriber) {
        Optional<ByteBuf> snapshot = store.isComplete() ? snapshots.acquire() : Optional.empty();
        if (snapshot.isPresent()) {
            metrics.countSnapshot();
            subscriber.sendAndClose(snapshot.get());
        } else {
            rejector.reject(subscriber, RejectionReason.INCOMPLETE_LIST);
        }
    }

    /** Sends a watch what it lacks if it can be answered now; otherwise parks, rejects or closes it. */
    void catchUp(Subscriber subscriber) {
        CatchUp due = store.catchUp(subscriber.versions());
        if (due == CatchUp.SNAPSHOT && sources.requestBackfill(subscriber.versions())) {
            park(subscriber);
        } else if (due == CatchUp.SNAPSHOT) {
            sendSnapshot(subscriber);
        } else if (due == CatchUp.DELTA) {
            sendDelta(subscriber);
        } else if (subscriber.isResponseStarted()) {
            // Already following, but this relay's state is older than the subscriber's: another relay serves it sooner.
            subscriber.close();
        } else {
            park(subscriber);
        }
    }

    private void park(Subscriber subscriber) {
        subscriber.park(PARK_TIMEOUT_MILLIS, () -> parkTimedOut(subscriber));
    }

    private void parkTimedOut(Subscriber subscriber) {
        CatchUp due = store.catchUp(subscriber.versions());
        if (store.isComplete() && isSnapshotDueAfterPark(due)) {
            sendSnapshot(subscriber);
        } else if (due == CatchUp.DELTA) {
            catchUp(subscriber);
        } else {
            rejector.reject(subscriber, RejectionReason.SUBSCRIBER_AHEAD);
        }
    }

    /**
     * Returns whether to send a snapshot. If every source has sent a message since the watch was parked, this relay is
     * up to date, and a subscriber that seems to be ahead has a version from before a restart of a source.
     */
    private boolean isSnapshotDueAfterPark(CatchUp due) {
        return due == CatchUp.SNAPSHOT
                || (due == CatchUp.AHEAD_OR_RESTARTED && sources.allActiveWithin(PARK_TIMEOUT_NANOS));
    }

    private void sendDelta(Subscriber subscriber) {
        VersionVector current = store.versions();
        List<Entry> changes = store.changesSince(subscriber.versions());
        metrics.countDelta();
        subscriber.setUpToDate(true);
        subscriber.setVersions(subscriber.versions().merge(current));
        subscriber.send(ChunkEncoder.encodeDelta(current, changes));
    }

    private void sendSnapshot(Subscriber subscriber) {
        Optional<ByteBuf> snapshot = snapshots.acquire();
        if (snapshot.isEmpty()) {
            rejector.reject(subscriber, RejectionReason.TOO_MANY_SNAPSHOTS);
            return;
        }
        metrics.countSnapshot();
        subscriber.setUpToDate(true);
        subscriber.setVersions(store.versions());
        subscriber.send(snapshot.get());
    }

    /** Answers those parked watches that can be answered now. */
    void retryParked() {
        subscribers.forEachParked(subscriber -> {
            CatchUp due = store.catchUp(subscriber.versions());
            if (due == CatchUp.DELTA || due == CatchUp.SNAPSHOT) {
                catchUp(subscriber);
            }
        });
    }

    /** Sends every following subscriber what it lacks. */
    void catchUpFollowing() {
        subscribers.forEachFollowing(this::catchUp);
    }

    /** Catches up a subscriber that missed changes while its write buffer was full. */
    void becameWritable(Subscriber subscriber) {
        if (subscriber.state() == Subscriber.State.FOLLOWING && !subscriber.isUpToDate()) {
            catchUp(subscriber);
        }
    }

    /** Sends a batch of changes to every following subscriber. */
    void deliver(ChangeBatch batch) {
        subscribers.forEachFollowing(subscriber -> deliver(batch, subscriber));
    }

    private void deliver(ChangeBatch batch, Subscriber subscriber) {
        if (!subscriber.isWritable()) {
            markLagging(subscriber);
        } else if (!subscriber.isUpToDate()) {
            catchUp(subscriber);
        } else if (!subscriber.versions().equals(batch.to())) {
            metrics.countDelta();
            subscriber.setVersions(versionsAfter(batch, subscriber.versions()));
            subscriber.send(batch.encoded().retainedDuplicate());
        }
    }

    private void markLagging(Subscriber subscriber) {
        if (subscriber.isUpToDate()) {
            metrics.countLagging();
        }
        subscriber.setUpToDate(false);
    }

    private static VersionVector versionsAfter(ChangeBatch batch, VersionVector before) {
        return before.equals(batch.from()) ? batch.to() : before.merge(batch.to());
    }

    /** Sends a heartbeat to every following subscriber if any source is healthy. */
    void sendHeartbeats() {
        if (!sources.isAnyHealthy()) {
            return;
        }
        subscribers.forEachFollowing(subscriber -> {
            if (subscriber.isWritable()) {
                subscriber.send(ChunkEncoder.HEARTBEAT.duplicate());
            }
        });
    }
}
