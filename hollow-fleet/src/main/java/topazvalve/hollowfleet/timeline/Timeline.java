package topazvalve.hollowfleet.timeline;

import java.util.List;
import topazvalve.hollowfleet.oracle.FleetBudget;
import topazvalve.hollowfleet.source.SimulatedLink;
import topazvalve.hollowfleet.source.SourceStandInSettings;

/**
 * A fleet and what happens to it, one stage after another.
 *
 * @param name the timeline's name
 * @param about what it is for
 * @param size how many there are of everything
 * @param source what each source can do
 * @param relays the relays between sources and sidecars
 * @param budget the limits that the oracle checks
 * @param stages the stages in their order
 */
public record Timeline(
        String name,
        String about,
        Size size,
        SourceStandInSettings source,
        RelayTierSize relays,
        FleetBudget budget,
        List<Stage> stages) {
    private static final double NANOS_PER_DAY = 86_400e9;
    private static final double CHANGE_RESERVE_FACTOR = 1.1;
    private static final int CHANGE_RESERVE = 1_000;
    private static final int CHANGE_LIMIT = Integer.MAX_VALUE / 8;

    /**
     * The size of the fleet.
     *
     * @param hollowSidecars hollow sidecars
     * @param servers endpoints of all lists together
     * @param zones zones; servers and sidecars are assigned to them in turn
     * @param regions regions; each has consecutive zones
     * @param sources sources; servers are assigned to them in turn
     * @param loops event loops that the hollow sidecars share
     * @param startOverNanos the time over which the sidecars start at first
     */
    public record Size(
            int hollowSidecars, int servers, int zones, int regions, int sources, int loops, long startOverNanos) {
        /** Returns the region of a zone. */
        public int region(int zone) {
            return zone * regions / zones;
        }
    }

    /**
     * The relays between sources and hollow sidecars, spread evenly over the zones.
     *
     * @param count how many there are; with 0, sidecars call the sources directly
     * @param separateProcesses whether each relay has a process of its own
     */
    public record RelayTierSize(int count, boolean separateProcesses) {}

    /** What a sidecar knows when it starts again; timeline files contain the constants' names. */
    public enum InitialKnowledge {
        /** The endpoint list as it was at the beginning of the stage. */
        KNOWN,
        /** Nothing. */
        NOTHING
    }

    /** The revisions of a restarted source; timeline files contain the constants' names. */
    public enum RevisionsAfterRestart {
        /** Revisions go on. */
        SAME,
        /** Revisions begin again from 1. */
        LOWER
    }

    /**
     * Changes of servers.
     *
     * @param perDay changes of random servers, spread evenly over the stage
     * @param burst servers of one zone that change
     * @param burstZone the zone
     * @param burstWithinNanos the time over which they change
     */
    public record Changes(double perDay, int burst, int burstZone, long burstWithinNanos) {}

    /**
     * Restart of sidecars.
     *
     * @param count random sidecars that are killed
     * @param knowledge what they know when they start again
     * @param downNanos how long they are down
     */
    public record SidecarRestart(int count, InitialKnowledge knowledge, long downNanos) {}

    /**
     * A fault of the network between sources and zones, for the length of the stage.
     *
     * @param link what the network does
     * @param zones the zones
     */
    public record LinkFault(SimulatedLink link, List<Integer> zones) {
        /** Returns whether there is a fault. */
        public boolean isPresent() {
            return link.kind() != SimulatedLink.Kind.OPEN;
        }
    }

    /**
     * Restart of all sources.
     *
     * @param downNanos how long they are down; 0 for no restart
     * @param revisions the revisions with which they come back
     */
    public record SourceRestart(long downNanos, RevisionsAfterRestart revisions) {
        /** Returns whether the sources restart. */
        public boolean isPresent() {
            return downNanos > 0;
        }
    }

    /**
     * Restart of relays.
     *
     * @param count how many of the relays are killed, from the first on
     * @param downNanos how long they are down
     */
    public record RelayRestart(int count, long downNanos) {}

    /**
     * One stage. All faults begin with the stage; faults that last end with it.
     *
     * @param name the stage's name
     * @param lengthNanos the time until the faults end
     * @param settleNanos the longest wait after that until every sidecar is up to date
     * @param changes changes of servers
     * @param sidecarRestart sidecars that restart
     * @param linkFault the network's fault
     * @param sourceRestart the sources' restart
     * @param stalledSidecars random sidecars that do not read from their connections
     * @param relayRestart relays that restart
     */
    public record Stage(
            String name,
            long lengthNanos,
            long settleNanos,
            Changes changes,
            SidecarRestart sidecarRestart,
            LinkFault linkFault,
            SourceRestart sourceRestart,
            int stalledSidecars,
            RelayRestart relayRestart) {

        /** Returns the number of changes of random servers, rounded. */
        public int plannedChanges() {
            return (int) Math.round(changes.perDay() * lengthNanos / NANOS_PER_DAY);
        }
    }

    /** Returns whether sidecars get their lists from relays. */
    public boolean hasRelays() {
        return relays.count() > 0;
    }

    /** Returns an upper bound of the changes of all stages, which includes the first change of each server. */
    public int maxChanges() {
        double planned = size.servers();
        for (Stage stage : stages) {
            Changes changes = stage.changes();
            long durationNanos = stage.lengthNanos() + stage.settleNanos();
            planned += changes.burst() + changes.perDay() * durationNanos / NANOS_PER_DAY + 1;
        }
        return (int) Math.min(CHANGE_LIMIT, planned * CHANGE_RESERVE_FACTOR + CHANGE_RESERVE);
    }
}
