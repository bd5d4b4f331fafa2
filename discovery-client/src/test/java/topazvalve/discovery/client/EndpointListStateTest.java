package topazvalve.discovery.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.discovery.client.EndpointListState.VersionCheck;
import topazvalve.discovery.state.VersionVector;
import topazvalve.policy.EndpointStatus;

/** Tests which updates the endpoint list accepts. */
class EndpointListStateTest {
    private static final List<Endpoint> ONE_ENDPOINT =
            List.of(new Endpoint("s-1", null, "", "", 0, EndpointStatus.READY, 1, 0));

    private static EndpointUpdate snapshot(long revision, String versions) {
        return new EndpointUpdate(revision, true, ONE_ENDPOINT, VersionVector.parse(versions));
    }

    private final EndpointListState list = new EndpointListState(snapshot(41, "eu:2.41"));

    @Test
    void emptySnapshotIsRejectedOnceTheListHasContainedAnEndpoint() {
        EndpointUpdate empty = new EndpointUpdate(42, true, List.of());
        assertEquals(Optional.of(new DiscoveryFailure.EmptySnapshot()), list.validate(empty, VersionCheck.NONE));
        EndpointListState neverPopulated = new EndpointListState(EndpointUpdate.NONE);
        assertEquals(Optional.empty(), neverPopulated.validate(empty, VersionCheck.NONE));
    }

    @Test
    void onlyTheVersionsThatTheCallerRequestsAreChecked() {
        EndpointUpdate olderRevision = snapshot(40, "");
        EndpointUpdate olderVersions = snapshot(42, "eu:1.900");
        assertEquals(Optional.empty(), list.validate(olderRevision, VersionCheck.VERSION_VECTOR));
        assertEquals(
                Optional.of(new DiscoveryFailure.StaleVersion("40", "41")),
                list.validate(olderRevision, VersionCheck.REVISION_AND_VERSION_VECTOR));
        assertEquals(Optional.empty(), list.validate(olderVersions, VersionCheck.NONE));
        assertEquals(
                Optional.of(new DiscoveryFailure.StaleVersion("eu:1.900", "eu:2.41")),
                list.validate(olderVersions, VersionCheck.VERSION_VECTOR));
    }

    @Test
    void firstDeltaAfterAnAddressChangeRequiresASnapshot() {
        list.addressChanged();
        assertEquals(0, list.revision());
        EndpointUpdate delta = new EndpointUpdate(3, false, ONE_ENDPOINT);
        assertEquals(Optional.empty(), list.validate(delta, VersionCheck.REVISION_AND_VERSION_VECTOR));
        assertTrue(list.advance(delta));
        assertFalse(list.advance(delta));
        assertEquals(3, list.revision());
        assertEquals(
                VersionVector.parse("eu:2.41"), list.versions(), "sources missing from the update keep their versions");
    }
}
