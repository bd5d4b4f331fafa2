package topazvalve.relay;

import java.util.List;
import topazvalve.discovery.state.EndpointStore;
import topazvalve.discovery.state.EndpointStore.Entry;
import topazvalve.discovery.state.EndpointStore.Update;
import topazvalve.discovery.state.SourceVersion;
import topazvalve.discovery.state.VersionVector;

/** An {@link EndpointStore} with a single source, which changes one endpoint per revision. */
final class StoreFixture {
    private static final String SOURCE = "eu";
    private static final long EPOCH = 1;
    private static final int MAX_LOGGED_ENTRIES = 100;

    final EndpointStore store = new EndpointStore(List.of(SOURCE), MAX_LOGGED_ENTRIES);
    private long revision;

    /** Creates a store whose source has sent its first snapshot, which is empty. */
    StoreFixture() {
        store.apply(SOURCE, new Update(nextVersion(), true, List.of()));
    }

    private SourceVersion nextVersion() {
        revision++;
        return new SourceVersion(EPOCH, revision);
    }

    /** Applies a change of one endpoint and returns the versions before it. */
    VersionVector change(String uid) {
        VersionVector before = store.versions();
        SourceVersion version = nextVersion();
        store.apply(SOURCE, new Update(version, false, List.of(entry(uid, version.revision()))));
        return before;
    }

    /** Returns the entry of an endpoint that was changed at this revision. */
    static Entry entry(String uid, long revision) {
        return new Entry(uid, false, "{\"uid\":\"" + uid + "\",\"at\":" + revision + "}");
    }
}
