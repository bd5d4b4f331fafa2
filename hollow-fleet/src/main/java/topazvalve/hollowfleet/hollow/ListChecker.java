package topazvalve.hollowfleet.hollow;

import topazvalve.hollowfleet.history.ChangeHistory;
import topazvalve.hollowfleet.oracle.FleetOracle;

/** Compares the endpoint lists of sidecars with the changes that they must have applied. */
final class ListChecker {
    private final ChangeHistory history;
    private final FleetOracle oracle;
    private final int listCount;

    ListChecker(ChangeHistory history, FleetOracle oracle, int listCount) {
        this.history = history;
        this.oracle = oracle;
        this.listCount = listCount;
    }

    /** Returns the changes that sidecars must have applied by now. */
    RequiredChanges requiredChanges(long nowNanos) {
        return new RequiredChanges(nowNanos);
    }

    /** The required changes at one point in time, computed for each list on first use. */
    final class RequiredChanges {
        private final long nowNanos;
        private final int[][] byList = new int[listCount][];

        private RequiredChanges(long nowNanos) {
            this.nowNanos = nowNanos;
        }

        private int[] of(int list) {
            if (byList[list] == null) {
                byList[list] = oracle.requiredChanges(nowNanos, server -> server % listCount == list);
            }
            return byList[list];
        }

        /** Reports the required changes that a sidecar has not applied; returns whether there are any. */
        boolean reportMissing(HollowSidecar sidecar) {
            int[] required = of(sidecar.list());
            int missingCount = 0;
            int exampleChange = 0;
            for (int server = 0; server < required.length; server++) {
                if (!hasApplied(sidecar, server, required[server])) {
                    missingCount++;
                    exampleChange = required[server];
                }
            }
            if (missingCount > 0) {
                oracle.changesMissing(sidecar.number(), exampleChange, missingCount, nowNanos);
            }
            return missingCount > 0;
        }
    }

    private boolean hasApplied(HollowSidecar sidecar, int server, int requiredChange) {
        EndpointView endpoints = sidecar.endpoints();
        return oracle.isApplied(requiredChange, endpoints.change(server), endpoints.status(server));
    }

    /** Returns whether a sidecar has a pending start or has not applied every change of its list. */
    boolean isBehind(HollowSidecar sidecar) {
        if (sidecar.isStartPending()) {
            return true;
        }
        if (!sidecar.canFollow()) {
            return false;
        }
        return !sidecar.hasResponse() || !sidecar.hasList() || lacksAnyLatestChange(sidecar);
    }

    private boolean lacksAnyLatestChange(HollowSidecar sidecar) {
        for (int server = sidecar.list(); server < history.serverCount(); server += listCount) {
            if (!hasApplied(sidecar, server, history.latestChange(server))) {
                return true;
            }
        }
        return false;
    }
}
