package topazvalve.discovery.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import topazvalve.discovery.client.EndpointListState.VersionCheck;
import topazvalve.discovery.json.JsonNode;
import topazvalve.discovery.json.JsonReader;
import topazvalve.policy.UpdateKind;

/**
 * A watch or a fetch of a {@link DiscoveryClient}: parses and validates each update, applies it to the state of the
 * endpoint list and notifies the listener.
 */
abstract class EndpointCall implements DiscoveryCall.Listener {
    private final DiscoverySession session;
    private final DiscoveryCall call;
    private boolean overdue;

    EndpointCall(DiscoverySession session, InetSocketAddress address, boolean watching) {
        this.session = session;
        this.call = new DiscoveryCall(session.loop(), address, watching, this);
    }

    /** Connects and sends the request. The query is empty or starts with a question mark. */
    final void open(String query) {
        session.calls().add(this);
        call.open(session.connectTimeoutMillis(), query);
    }

    /** Closes the call; its listener methods are not called after this. */
    final void close() {
        session.calls().remove(this);
        call.close();
    }

    /** Closes the call with a failure. */
    final void fail(DiscoveryFailure failure) {
        call.fail(failure);
    }

    /** Returns whether an update or a heartbeat was received. */
    final boolean isAnswered() {
        return call.isAnswered();
    }

    /** Returns whether the response is overdue. For a watch, another one may have been opened meanwhile. */
    final boolean isOverdue() {
        return overdue;
    }

    /** Records whether the call is overdue. */
    final void setOverdue(boolean overdue) {
        this.overdue = overdue;
    }

    /** Records that an update or a heartbeat was received. */
    final void markAnswered() {
        overdue = false;
        session.responseReceived();
        call.markAnswered();
    }

    @Override
    public final void objectReceived(byte[] json) throws IOException {
        JsonNode node = JsonReader.read(json);
        if (!EndpointUpdate.isUpdate(node)) {
            call.fail(new DiscoveryFailure.InvalidUpdate());
            return;
        }
        EndpointUpdate update = EndpointUpdate.fromJson(node);
        Optional<DiscoveryFailure> rejection = session.list().validate(update, versionCheck());
        if (rejection.isPresent()) {
            call.fail(rejection.get());
        } else if (acceptResponse() && !isOutdated(update)) {
            apply(update);
        }
    }

    private void apply(EndpointUpdate update) {
        boolean needsSnapshot = session.list().advance(update);
        updateApplied(update);
        if (needsSnapshot) {
            fetchSnapshot();
        }
        session.notifyUpdated(update.fullSnapshot() ? UpdateKind.FULL : UpdateKind.DELTA, update.endpoints());
    }

    /** Returns whether this is a one-off fetch rather than a watch. */
    abstract boolean isFetch();

    /** Returns which versions of the next update are checked. */
    abstract VersionCheck versionCheck();

    /** Handles a valid message; returns false if the call was closed because another one has replaced it. */
    abstract boolean acceptResponse();

    /** Returns whether the current list already contains the changes of this update. */
    abstract boolean isOutdated(EndpointUpdate update);

    /** Called after the version of an update was recorded and before the listener is notified. */
    abstract void updateApplied(EndpointUpdate update);

    /** Starts a fetch of the full list. */
    abstract void fetchSnapshot();
}
