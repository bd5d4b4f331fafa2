package topazvalve.hollowfleet.hollow;

import topazvalve.hollowfleet.oracle.EntryReplacement;

/** Receives the updates of hollow sidecars, on their event loop. */
interface HollowListener {
    /** An entry of a sidecar's endpoint list was replaced. */
    void entryReplaced(HollowSidecar sidecar, EntryReplacement entry);

    /**
     * An update of a sidecar's endpoint list was applied.
     *
     * @param firstResponse whether it is the first since the sidecar's start
     * @param firstList whether it is the complete list of a sidecar that had none
     */
    void listUpdated(HollowSidecar sidecar, boolean firstResponse, boolean firstList);
}
