package topazvalve.hollowfleet.timeline;

import java.util.List;
import topazvalve.hollowfleet.oracle.FleetBudget;
import topazvalve.hollowfleet.source.SimulatedLink;
import topazvalve.hollowfleet.source.SourceStandInSettings;

/**
 * A fleet and the sequence of stages that it goes through.
 *
 * @param name the timeline's name
 * @param description the purpose of the timeline
 * @param size the numbers of sidecars, servers, sources, zones and regions
 * @param source the settings of each source
 * @param relays the relays between sources and sidecars
 * @param budget the limits that the oracle checks
 * @param stages the stages in their order
 */
public record Timeline(
        String name,
        String description,
        Size size,
        SourceStandInSettings source,
        RelayTierSize relays,
        FleetBudget budget,
        List<Stage> stages) {
    private static final double NANOS_PER_DAY = 86_400e9;
    private static final double CHANGE_MARGIN_FACTOR = 1.1;
    private static final int CHANGE_MARGIN = 1_000;
    private static final int MAX_CHANGES = Integer.MAX_VALUE / 8;

    /**
     * The size of the fleet.
     *
     * @param hollowSidecars number of hollow sidecars
     * @param servers number of servers in all endpoint lists together
     * @param zones number of zones; servers and sidecars are assigned to them in turn
     * @param regions number of regions; each consists of consecutive zones
     * @param sources number of sources; servers are assigned to them in turn
     * @param loops number of event loops that the hollow sidecars share
     * @param startSpreadNanos the time over which the initial starts of the sidecars are spread
     */
    public record Size(
            int hollowSidecars, int servers, int zones, int regions, int sources, int loops, long startSpreadNanos) {
        /** Returns the region of a zone. */
        public int region(int zone) {
            return zone * regions / zones;
        }
    }

    /**
     * The relays between sources and hollow sidecars, spread evenly over the zones.
     *
     * @param count number of relays; with 0, sidecars call the sources directly
     * @param separateProcesses whether each relay runs in a process of its own
     */
    public record RelayTierSize(int count, boolean separateProcesses) {}

    /** What a sidecar knows when it restarts. The names of the constants appear in timeline files. */
    public enum InitialKnowledge {
        /** The endpoint list as it was at the beginning of the stage. */
        KNOWN,
        /** No endpoint list. */
        NOTHING
    }

    /** The revisions of a restarted source. The names of the constants appear in timeline files. */
    public enum RevisionsAfterRestart {
        /** Revisions continue. */
        SAME,
        /** Revisions start again from 1. */
        LOWER
    }

    /**
     * Status changes of servers.
     *
     * @param perDay changes of random servers per day, spread evenly over the stage
     * @param burst number of servers of one zone that change in a burst
     * @param burstZone the zone of these servers
     * @param burstWithinNanos the time over which their changes are spread
     */
    public record Changes(double perDay, int burst, int burstZone, long burstWithinNanos) {}

    /**
     * A restart of sidecars.
     *
     * @param count number of sidecars that are killed, selected at random
     * @param knowledge what they know when they restart
     * @param downNanos how long they are down
     */
    public record SidecarRestart(int count, InitialKnowledge knowledge, long downNanos) {}

    /**
     * A network fault between the sources and some zones. It lasts for the length of the stage.
     *
     * @param link the faulty link
     * @param zones the affected zones
     */
    public record LinkFault(SimulatedLink link, List<Integer> zones) {
        /** Returns whether there is a fault. */
        public boolean isPresent() {
            return link.kind() != SimulatedLink.Kind.OPEN;
        }
    }

    /**
     * A restart of all sources.
     *
     * @param downNanos how long they are down; 0 for no restart
     * @param revisions their revisions after the restart
     */
    public record SourceRestart(long downNanos, RevisionsAfterRestart revisions) {
        /** Returns whether the sources restart. */
        public boolean isPresent() {
            return downNanos > 0;
        }
    }

    /**
     * A restart of relays.
     *
     * @param count number of relays that are killed, starting with the first
     * @param downNanos how long they are down
     */
    public record RelayRestart(int count, long downNanos) {}

    /**
     * One stage. All faults begin when the stage begins; faults with a duration end when its length has passed.
     *
     * @param name the stage's name
     * @param lengthNanos the time from the start of the stage until the faults end
     * @param settleTimeoutNanos the longest wait after that for every sidecar to be up to date
     * @param changes status changes of servers
     * @param sidecarRestart sidecars that restart
     * @param linkFault the network fault
     * @param sourceRestart the restart of the sources
     * @param stalledSidecars number of sidecars that stop reading from their connections, selected at random
     * @param relayRestart relays that restart
     */
    public record Stage(
            String name,
            long lengthNanos,
            long settleTimeoutNanos,
            Changes changes,
            SidecarRestart sidecarRestart,
            LinkFault linkFault,
            SourceRestart sourceRestart,
            int stalledSidecars,
            RelayRestart relayRestart) {

        /** Returns the number of changes of random servers in the stage, rounded. */
        public int plannedChanges() {
            return (int) Math.round(changes.perDay() * lengthNanos / NANOS_PER_DAY);
        }
    }

    /** Returns whether sidecars get their lists from relays. */
    public boolean hasRelays() {
        return relays.count() > 0;
    }

    /** Returns an upper bound for the number of changes in all stages, including the first change of each server. */
    public int maxChanges() {
        double planned = size.servers();
        for (Stage stage : stages) {
            Changes changes = stage.changes();
            long durationNanos = stage.lengthNanos() + stage.settleTimeoutNanos();
            planned += changes.burst() + changes.perDay() * durationNanos / NANOS_PER_DAY + 1;
        }
        return (int) Math.min(MAX_CHANGES, planned * CHANGE_MARGIN_FACTOR + CHANGE_MARGIN);
    }
}
