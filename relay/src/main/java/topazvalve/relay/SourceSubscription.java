package topazvalve.relay;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.discovery.client.DiscoveryCall;
import topazvalve.discovery.client.DiscoveryFailure;
import topazvalve.discovery.state.EndpointStore;
import topazvalve.discovery.state.EndpointStore.Update;
import topazvalve.discovery.state.EndpointStore.UpdateResult;
import topazvalve.discovery.state.FailoverStateMachine;
import topazvalve.discovery.state.SourceVersion;
import topazvalve.discovery.state.VersionVector;
import topazvalve.relay.RelaySettings.SourceSettings;

/**
 * Watches one source and applies its updates to the {@link EndpointStore}; connects to the source's next address when
 * the watch fails. Used on the event loop only.
 */
final class SourceSubscription {
    private static final Logger LOG = LoggerFactory.getLogger("source");

    /** Is notified of changes of the store, on the event loop. */
    interface Listener {
        /** Called when an update was applied; {@code before} are the store's versions before it. */
        void updateApplied(UpdateResult result, VersionVector before);

        /** Called when a {@link Backfill} request was answered or has failed. */
        void backfillCompleted();
    }

    private enum State {
        CLOSED,
        WAITING_TO_CONNECT,
        CONNECTING,
        FOLLOWING
    }

    private final EventLoop loop;
    private final SourceSettings settings;
    private final EndpointStore store;
    private final FailoverStateMachine failover;
    private final Listener listener;
    private final Backfill backfill;
    private State state = State.CLOSED;
    private DiscoveryCall call;
    /** Whether the next watch must request a snapshot, because the last update did not continue the store's state. */
    private boolean snapshotNeeded = true;

    private long lastMessageNanos;
    /** Why the last watch failed; null while the source is followed. */
    private DiscoveryFailure lastFailure;

    SourceSubscription(EventLoop loop, SourceSettings settings, EndpointStore store, long seed, Listener listener) {
        this.loop = loop;
        this.settings = settings;
        this.store = store;
        this.failover = new FailoverStateMachine(settings.addresses().size(), new SplittableRandom(seed));
        this.listener = listener;
        this.backfill = new Backfill(loop, settings.name(), store, listener);
        // In the distant past, so that the source is not healthy before its first message.
        this.lastMessageNanos = System.nanoTime() - TimeUnit.DAYS.toNanos(1);
    }

    String name() {
        return settings.name();
    }

    void start() {
        connect(failover.start());
    }

    void close() {
        state = State.CLOSED;
        if (call != null) {
            call.close();
        }
        backfill.close();
    }

    /** Returns the time since the last message of the source, in nanoseconds. */
    long idleNanos() {
        return System.nanoTime() - lastMessageNanos;
    }

    /**
     * Requests the changes since a subscriber's version if that version precedes this relay's log.
     *
     * @param from the subscriber's version of this source; null if it has none
     * @return whether an answer is pending
     */
    boolean requestBackfill(SourceVersion from) {
        return backfill.request(from, address(failover.currentIndex()));
    }

    private InetSocketAddress address(int index) {
        return settings.addresses().get(index);
    }

    private SourceVersion version() {
        return store.versions().versionOf(name());
    }

    private void connect(FailoverStateMachine.Connect next) {
        state = State.WAITING_TO_CONNECT;
        loop.schedule(
                () -> {
                    if (state == State.WAITING_TO_CONNECT) {
                        openWatch(address(next.index()));
                    }
                },
                next.delayNanos(),
                TimeUnit.NANOSECONDS);
    }

    private void openWatch(InetSocketAddress address) {
        state = State.CONNECTING;
        failover.connecting();
        SourceVersion current = version();
        long from = snapshotNeeded || current == null ? 0 : current.revision();
        call = new DiscoveryCall(loop, address, true, new WatchListener(from));
        call.open(DiscoveryCall.CONNECT_TIMEOUT_MILLIS, "?watch=1&from=" + from);
    }

    private void messageAccepted() {
        lastMessageNanos = System.nanoTime();
        if (state == State.CONNECTING) {
            state = State.FOLLOWING;
            failover.responded();
            call.markAnswered();
            if (lastFailure != null) {
                LOG.info("{}: watch recovered", name());
            }
            lastFailure = null;
        }
    }

    /** Applies the messages of one watch to the store. */
    private final class WatchListener implements DiscoveryCall.Listener {
        private final long from;
        private boolean firstMessage = true;

        /** Creates the listener of a watch that starts at this revision; 0 requests a snapshot. */
        WatchListener(long from) {
            this.from = from;
        }

        @Override
        public void objectReceived(byte[] json) throws IOException {
            Update update = withImpliedSnapshot(SourceReader.read(json));
            boolean answersRequest = firstMessage;
            firstMessage = false;
            VersionVector before = store.versions();
            UpdateResult result = store.apply(name(), update);
            switch (result) {
                case UNCHANGED, CHANGED, FIRST_UPDATE -> {
                    snapshotNeeded = false;
                    messageAccepted();
                    listener.updateApplied(result, before);
                }
                case STALE -> staleReceived(update, before, answersRequest);
                case NOT_CONTIGUOUS -> resubscribe(update, before);
                default -> call.fail(new DiscoveryFailure.EmptySnapshot());
            }
        }

        /** The changes since revision 0 are a snapshot, even if the source does not mark them as one. */
        private Update withImpliedSnapshot(Update update) {
            if (firstMessage && from == 0 && !update.fullSnapshot()) {
                return new Update(update.version(), true, update.entries());
            }
            return update;
        }

        /** A stale delta is normal on an established watch: a {@link Backfill} may have applied its changes already. */
        private void staleReceived(Update update, VersionVector before, boolean answersRequest) {
            if (update.fullSnapshot()) {
                call.fail(new DiscoveryFailure.StaleVersion(update.version().toString(), before.toString()));
            } else if (answersRequest) {
                resubscribe(update, before);
            } else {
                messageAccepted();
            }
        }

        private void resubscribe(Update update, VersionVector before) {
            snapshotNeeded = true;
            call.fail(new DiscoveryFailure.VersionGap(update.version().toString(), before.toString()));
        }

        @Override
        public void heartbeatReceived() {
            if (version() == null) {
                call.fail(new DiscoveryFailure.UnexpectedHeartbeat());
            } else {
                messageAccepted();
            }
        }

        @Override
        public void responseOverdue() {
            // With a single address, keep waiting: a new call would be further back in the source's queue.
            if (settings.addresses().size() > 1) {
                call.fail(new DiscoveryFailure.ResponseOverdue());
            }
        }

        @Override
        public void watchIdle() {
            call.fail(new DiscoveryFailure.IdleWatch(DiscoveryCall.IDLE_TIMEOUT_MILLIS));
        }

        @Override
        public void failed(DiscoveryFailure failure, long retryAfterMillis) {
            if (!failure.equals(lastFailure)) {
                LOG.warn("{}: watch failed: {}", name(), failure.message());
            }
            lastFailure = failure;
            connect(failover.failed(TimeUnit.MILLISECONDS.toNanos(retryAfterMillis)));
        }
    }
}
