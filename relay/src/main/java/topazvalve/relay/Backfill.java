package topazvalve.relay;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.discovery.client.DiscoveryCall;
import topazvalve.discovery.client.DiscoveryFailure;
import topazvalve.discovery.state.EndpointStore;
import topazvalve.discovery.state.EndpointStore.Update;
import topazvalve.discovery.state.EndpointStore.UpdateResult;
import topazvalve.discovery.state.SourceVersion;
import topazvalve.discovery.state.VersionVector;

/**
 * Requests the changes that precede this relay's log of a source, so that subscribers with an older version can be
 * sent a delta instead of a snapshot ({@code docs/design/relay.md}, "A relay's start"). At most one request is in
 * flight, and its answer serves all subscribers that wait for it. Used on the event loop only.
 */
final class Backfill {
    /** The maximum number of requests to one source during the lifetime of a relay. */
    static final int MAX_REQUESTS = 8;

    private static final Logger LOG = LoggerFactory.getLogger("source");

    private final EventLoop loop;
    private final String sourceName;
    private final EndpointStore store;
    private final SourceSubscription.Listener listener;
    private int requestsLeft = MAX_REQUESTS;
    /** The request in flight; null if there is none. */
    private DiscoveryCall call;

    Backfill(EventLoop loop, String sourceName, EndpointStore store, SourceSubscription.Listener listener) {
        this.loop = loop;
        this.sourceName = sourceName;
        this.store = store;
        this.listener = listener;
    }

    /**
     * Requests the changes since {@code from}, unless a request is already in flight.
     *
     * @param from the subscriber's version of this source; null if it has none
     * @param address the source's address
     * @return whether an answer is pending
     */
    boolean request(SourceVersion from, InetSocketAddress address) {
        if (!store.precedesLog(sourceName, from) || from.revision() == 0) {
            return false;
        }
        if (call != null) {
            return true;
        }
        if (requestsLeft == 0) {
            return false;
        }
        requestsLeft--;
        call = new DiscoveryCall(loop, address, true, new AnswerListener(from));
        call.open(DiscoveryCall.CONNECT_TIMEOUT_MILLIS, "?watch=1&from=" + from.revision());
        return true;
    }

    void close() {
        if (call != null) {
            call.close();
        }
    }

    /** Applies the first message of the answer and closes the call. */
    private final class AnswerListener implements DiscoveryCall.Listener {
        private final SourceVersion from;

        AnswerListener(SourceVersion from) {
            this.from = from;
        }

        @Override
        public void objectReceived(byte[] json) throws IOException {
            apply(SourceReader.read(json));
        }

        @Override
        public void heartbeatReceived() {
            SourceVersion current = store.versions().versionOf(sourceName);
            apply(new Update(current, false, List.of()));
        }

        private void apply(Update update) {
            call.close();
            VersionVector before = store.versions();
            UpdateResult result = store.backfill(sourceName, from, update);
            if (update.fullSnapshot()) {
                // The source's own log does not reach back to this version, so further requests would be useless.
                requestsLeft = 0;
            }
            if (result == UpdateResult.UNCHANGED || result == UpdateResult.CHANGED) {
                listener.updateApplied(result, before);
            }
            complete();
        }

        @Override
        public void responseOverdue() {
            call.fail(new DiscoveryFailure.ResponseOverdue());
        }

        @Override
        public void watchIdle() {
            call.fail(new DiscoveryFailure.ResponseOverdue());
        }

        @Override
        public void failed(DiscoveryFailure failure, long retryAfterMillis) {
            LOG.info("{}: backfill failed: {}", sourceName, failure.message());
            complete();
        }

        private void complete() {
            call = null;
            listener.backfillCompleted();
        }
    }
}
