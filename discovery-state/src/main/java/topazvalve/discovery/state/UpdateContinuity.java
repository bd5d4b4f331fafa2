package topazvalve.discovery.state;

import topazvalve.discovery.state.EndpointStore.Update;

/** How an update of a source relates to the current version of that source. */
enum UpdateContinuity {
    /** It is the first snapshot of the source. */
    FIRST,
    /** It has the same or a later version within the same incarnation. */
    CONTINUES,
    /** It is a snapshot of another incarnation of the source. */
    RESTARTED,
    /** It is older than the current version. */
    STALE,
    /** It is a delta to an unknown state; a snapshot is needed. */
    GAP;

    /**
     * Classifies an update.
     *
     * @param current the current version, null if there is none
     */
    static UpdateContinuity of(SourceVersion current, Update update) {
        if (current == null) {
            return update.fullSnapshot() ? FIRST : GAP;
        }
        if (isStale(current, update)) {
            return STALE;
        }
        SourceVersion next = update.version();
        if (next.epoch() == current.epoch() && next.revision() >= current.revision()) {
            return CONTINUES;
        }
        return update.fullSnapshot() ? RESTARTED : GAP;
    }

    private static boolean isStale(SourceVersion current, Update update) {
        SourceVersion next = update.version();
        if (next.epoch() != current.epoch()) {
            return next.hasEpoch() && next.epoch() < current.epoch();
        }
        // Without an epoch, a snapshot with a lower revision means that the source restarted.
        boolean mayBeRestart = !next.hasEpoch() && update.fullSnapshot();
        return next.revision() < current.revision() && !mayBeRestart;
    }
}
