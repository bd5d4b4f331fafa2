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
 * Asks one source for the changes from before this relay began its log, so that subscribers which come with an
 * older version need no snapshot ({@code docs/design/relay.md}, "A relay's start"). One request at a time
 * serves all who wait for it. On the event loop alone.
 */
final class Backfill {
    /** How many requests a relay makes to one source in its life. */
    static final int MAX_REQUESTS = 8;

    private static final Logger LOG = LoggerFactory.getLogger("source");

    private final EventLoop loop;
    private final String sourceName;
    private final EndpointStore store;
    private final SourceSubscription.Listener listener;
    private int requestsLeft = MAX_REQUESTS;
    /** The request in flight; null while there is none. */
    private DiscoveryCall call;

    Backfill(EventLoop loop, String sourceName, EndpointStore store, SourceSubscription.Listener listener) {
        this.loop = loop;
        this.sourceName = sourceName;
        this.store = store;
        this.listener = listener;
    }

    /**
     * Asks for the changes since {@code from}, unless a request is in flight already.
     *
     * @param from the version that a subscriber has; null if it has none of this source
     * @param address the source's address
     * @return whether there is an answer to wait for
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

    /** Takes the first message of the answer; the call ends with it. */
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
            SourceVersion present = store.versions().versionOf(sourceName);
            apply(new Update(present, false, List.of()));
        }

        private void apply(Update update) {
            call.close();
            VersionVector before = store.versions();
            UpdateResult result = store.backfill(sourceName, from, update);
            if (update.fullSnapshot()) {
                // The source's own log does not reach back so far: there is no use in further requests.
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
