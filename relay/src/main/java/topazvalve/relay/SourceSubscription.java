package topazvalve.relay;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.List;
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

/** Follows one source, by today's published form of discovery, into the state. On the loop alone. */
final class SourceSubscription {
    /** How often a relay asks for changes from before its time, for followers with older versions. */
    static final int MOST_FILLS = 8;

    private static final Logger LOG = LoggerFactory.getLogger("source");

    /** Hears what became of the state. */
    interface Listener {
        /** A line was taken: {@code before} is how far the state had come. */
        void taken(UpdateResult taken, VersionVector before);

        /** Asked for earlier changes, the source has answered or failed. */
        void filled();
    }

    private enum State {
        CLOSED,
        PAUSING,
        ASKING,
        FOLLOWING
    }

    private final EventLoop loop;
    private final SourceSettings settings;
    private final EndpointStore lists;
    private final FailoverStateMachine following;
    private final Listener listener;
    private State state = State.CLOSED;
    private DiscoveryCall call;
    private DiscoveryCall fill;
    private int fillsLeft = MOST_FILLS;
    /** What is here does not follow on: the whole list is asked for. */
    private boolean anew = true;

    private long heardAt;
    private DiscoveryFailure fault;

    SourceSubscription(EventLoop loop, SourceSettings settings, EndpointStore lists, long seed, Listener listener) {
        this.loop = loop;
        this.settings = settings;
        this.lists = lists;
        this.following = new FailoverStateMachine(settings.addresses().size(), new SplittableRandom(seed));
        this.listener = listener;
        this.heardAt = System.nanoTime() - TimeUnit.DAYS.toNanos(1);
    }

    String name() {
        return settings.name();
    }

    void start() {
        ask(following.start());
    }

    void close() {
        state = State.CLOSED;
        if (call != null) {
            call.close();
        }
        if (fill != null) {
            fill.close();
        }
    }

    /** How long ago the source said anything, nanoseconds. */
    long silentFor() {
        return System.nanoTime() - heardAt;
    }

    private SourceVersion version() {
        return lists.versions().versionOf(name());
    }

    private void ask(FailoverStateMachine.Connect next) {
        state = State.PAUSING;
        loop.schedule(
                () -> {
                    if (state == State.PAUSING) {
                        state = State.ASKING;
                        following.connecting();
                        long from = anew || version() == null ? 0 : version().revision();
                        call = new DiscoveryCall(loop, settings.addresses().get(next.index()), true, new Watch(from));
                        call.open(DiscoveryCall.CONNECT_TIMEOUT_MILLIS, "?watch=1&from=" + from);
                    }
                },
                next.delayNanos(),
                TimeUnit.NANOSECONDS);
    }

    /**
     * Asks for changes from before this relay began if a follower comes with such a version; whether there is
     * an answer to wait for.
     */
    boolean fill(SourceVersion from) {
        if (!lists.precedesLog(name(), from) || from.revision() == 0) {
            return false;
        }
        if (fill != null || fillsLeft == 0) {
            return fill != null;
        }
        fillsLeft--;
        fill = new DiscoveryCall(loop, settings.addresses().get(following.currentIndex()), true, new Fill(from));
        fill.open(DiscoveryCall.CONNECT_TIMEOUT_MILLIS, "?watch=1&from=" + from.revision());
        return true;
    }

    private void heard() {
        heardAt = System.nanoTime();
        if (state == State.ASKING) {
            state = State.FOLLOWING;
            following.answered();
            call.answered();
            if (fault != null) {
                LOG.info("{}: heard again", name());
            }
            fault = null;
        }
    }

    private final class Watch implements DiscoveryCall.Listener {
        private final long from;
        private boolean first = true;

        Watch(long from) {
            this.from = from;
        }

        @Override
        public void objectReceived(byte[] text) throws IOException {
            Update update = SourceReader.read(text);
            if (first && from == 0 && !update.fullSnapshot()) {
                // All that changed since nothing was there is all there is.
                update = new Update(update.version(), true, update.entries());
            }
            boolean begins = first;
            first = false;
            VersionVector before = lists.versions();
            UpdateResult taken = lists.apply(name(), update);
            switch (taken) {
                case UNCHANGED, CHANGED, FIRST_UPDATE -> {
                    anew = false;
                    heard();
                    listener.taken(taken, before);
                }
                case STALE -> older(update, before, begins);
                case NOT_CONTIGUOUS -> apart(update, before);
                default -> call.fail(new DiscoveryFailure.EmptySnapshot());
            }
        }

        /** Changes that an answer to {@link Fill} was ahead of are here already; a list must not be older. */
        private void older(Update update, VersionVector before, boolean begins) {
            if (update.fullSnapshot()) {
                call.fail(new DiscoveryFailure.StaleVersion(update.version().toString(), before.toString()));
            } else if (begins) {
                apart(update, before);
            } else {
                heard();
            }
        }

        private void apart(Update update, VersionVector before) {
            anew = true;
            call.fail(new DiscoveryFailure.VersionGap(update.version().toString(), before.toString()));
        }

        @Override
        public void heartbeatReceived() {
            if (version() == null) {
                call.fail(new DiscoveryFailure.UnexpectedHeartbeat());
            } else {
                heard();
            }
        }

        @Override
        public void answerOverdue() {
            // Its place in the source's queue is worth more than a new one, unless there is another to ask.
            if (settings.addresses().size() > 1) {
                call.fail(new DiscoveryFailure.Overdue());
            }
        }

        @Override
        public void watchIdle() {
            call.fail(new DiscoveryFailure.IdleWatch(DiscoveryCall.IDLE_TIMEOUT_MILLIS));
        }

        @Override
        public void failed(DiscoveryFailure failure, long retryAfterMillis) {
            if (!failure.equals(fault)) {
                LOG.warn("{}: not followed: {}", name(), failure.message());
            }
            fault = failure;
            ask(following.rejected(TimeUnit.MILLISECONDS.toNanos(retryAfterMillis)));
        }
    }

    /** One answer to the question what changed since an earlier version. */
    private final class Fill implements DiscoveryCall.Listener {
        private final SourceVersion from;

        Fill(SourceVersion from) {
            this.from = from;
        }

        private void over() {
            fill = null;
            listener.filled();
        }

        @Override
        public void objectReceived(byte[] text) throws IOException {
            take(SourceReader.read(text));
        }

        private void take(Update update) {
            fill.close();
            VersionVector before = lists.versions();
            UpdateResult taken = lists.backfill(name(), from, update);
            if (update.fullSnapshot()) {
                // Its log does not reach back so far.
                fillsLeft = 0;
            }
            if (taken == UpdateResult.UNCHANGED || taken == UpdateResult.CHANGED) {
                listener.taken(taken, before);
            }
            over();
        }

        @Override
        public void heartbeatReceived() {
            take(new Update(version(), false, List.of()));
        }

        @Override
        public void answerOverdue() {
            fill.fail(new DiscoveryFailure.Overdue());
        }

        @Override
        public void watchIdle() {
            fill.fail(new DiscoveryFailure.Overdue());
        }

        @Override
        public void failed(DiscoveryFailure failure, long retryAfterMillis) {
            LOG.info("{}: earlier changes not told: {}", name(), failure.message());
            over();
        }
    }
}
