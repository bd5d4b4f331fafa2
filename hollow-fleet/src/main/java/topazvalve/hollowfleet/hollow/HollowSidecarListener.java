package topazvalve.hollowfleet.hollow;

import topazvalve.hollowfleet.oracle.EntryReplacement;

/** Receives the updates of hollow sidecars, on their event loops. */
interface HollowSidecarListener {
    /** Called when an entry of a sidecar's endpoint list was replaced. */
    void entryReplaced(HollowSidecar sidecar, EntryReplacement entry);

    /**
     * Called when an update of a sidecar's endpoint list was applied.
     *
     * @param firstResponse whether it is the first update since the sidecar's start
     * @param firstList whether it is the first full snapshot of a sidecar that had no list
     */
    void listUpdated(HollowSidecar sidecar, boolean firstResponse, boolean firstList);
}
