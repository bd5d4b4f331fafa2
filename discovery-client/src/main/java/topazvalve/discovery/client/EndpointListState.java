package topazvalve.discovery.client;

import java.util.Optional;
import topazvalve.discovery.state.VersionVector;

/** The version of the current endpoint list, and which updates may be applied to it. */
final class EndpointListState {
    /** Which versions of an update are compared with the current list. */
    enum VersionCheck {
        /** None, as the update is a later one of a watch that was checked at its start. */
        NONE,
        /** The versions at each source. */
        VERSION_VECTOR,
        /** The sender's revision and the versions at each source. */
        REVISION_AND_VERSION_VECTOR
    }

    private long revision;
    private VersionVector versions;
    /** Whether the list ever had an endpoint. */
    private boolean populated;
    /** Whether the list came from another address than the one that is now called. */
    private boolean fromPreviousAddress;

    EndpointListState(EndpointUpdate initial) {
        this.revision = initial.revision();
        this.versions = initial.versions();
        this.populated = !initial.endpoints().isEmpty();
    }

    /** Returns the sender's version of the list. */
    long revision() {
        return revision;
    }

    /** Returns the version at each source; empty if the sender reports only a revision. */
    VersionVector versions() {
        return versions;
    }

    /** Records that discovery has another address, whose revisions have no relation to those of the current list. */
    void addressChanged() {
        revision = 0;
        fromPreviousAddress = true;
    }

    /** Returns why an update must not be applied, or empty if it may. */
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
     * Takes over the version of an update that is being applied.
     *
     * @return whether a snapshot has to be fetched, as the update is a delta to the list of a previous address
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
