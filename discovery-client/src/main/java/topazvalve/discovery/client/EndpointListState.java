package topazvalve.discovery.client;

import java.util.Optional;
import topazvalve.discovery.state.VersionVector;

/** The version of the current endpoint list; decides which updates may be applied to it. */
final class EndpointListState {
    /** Which versions of an update are compared with the current list. */
    enum VersionCheck {
        /** None, because the first update of the watch was checked already. */
        NONE,
        /** The version of each source. */
        VERSION_VECTOR,
        /** The sender's revision and the version of each source. */
        REVISION_AND_VERSION_VECTOR
    }

    private long revision;
    private VersionVector versions;
    /** Whether the list has ever contained an endpoint. */
    private boolean populated;
    /** Whether the list came from an address other than the current one. */
    private boolean fromPreviousAddress;

    EndpointListState(EndpointUpdate initial) {
        this.revision = initial.revision();
        this.versions = initial.versions();
        this.populated = !initial.endpoints().isEmpty();
    }

    /** Returns the revision of the list, as reported by its sender. */
    long revision() {
        return revision;
    }

    /** Returns the version of each source; empty if the sender reports only a revision. */
    VersionVector versions() {
        return versions;
    }

    /** Records that discovery has a new address, whose revisions are unrelated to those of the current list. */
    void addressChanged() {
        revision = 0;
        fromPreviousAddress = true;
    }

    /** Returns why an update must be rejected; empty if it may be applied. */
    Optional<DiscoveryFailure> validate(EndpointUpdate update, VersionCheck check) {
        if (update.fullSnapshot() && update.endpoints().isEmpty() && populated) {
            return Optional.of(new DiscoveryFailure.EmptySnapshot());
        }
        if (check == VersionCheck.REVISION_AND_VERSION_VECTOR && isOlderRevision(update)) {
            return Optional.of(
                    new DiscoveryFailure.StaleVersion(Long.toString(update.revision()), Long.toString(revision)));
        }
        if (check != VersionCheck.NONE && update.versions().isBehind(versions)) {
            return Optional.of(
                    new DiscoveryFailure.StaleVersion(update.versions().toString(), versions.toString()));
        }
        return Optional.empty();
    }

    private boolean isOlderRevision(EndpointUpdate update) {
        return !fromPreviousAddress && update.revision() < revision;
    }

    /**
     * Records the version of an update that is being applied.
     *
     * @return whether a snapshot must be fetched, because the update is a delta but the list is from a previous address
     */
    boolean advance(EndpointUpdate update) {
        boolean needsSnapshot = fromPreviousAddress && !update.fullSnapshot();
        populated |= !update.endpoints().isEmpty();
        revision = update.revision();
        versions = versions.merge(update.versions());
        fromPreviousAddress = false;
        return needsSnapshot;
    }
}
