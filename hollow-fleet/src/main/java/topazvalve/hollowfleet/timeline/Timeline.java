package topazvalve.hollowfleet.timeline;

import java.util.List;
import topazvalve.hollowfleet.oracle.Allowed;
import topazvalve.hollowfleet.source.SimulatedLink;
import topazvalve.hollowfleet.source.SourceSettings;

/**
 * A fleet and what happens to it, stage after stage. Times are nanoseconds.
 *
 * @param size how many there are of everything
 * @param source what each source can do
 * @param relays what is between sources and sidecars
 * @param allowed what the oracle allows
 */
public record Timeline(
        String name,
        String about,
        Size size,
        SourceSettings source,
        RelayCount relays,
        Allowed allowed,
        List<Stage> stages) {
    /**
     * How many there are.
     *
     * @param hollow hollow sidecars
     * @param servers entries of all lists together
     * @param zones zones; servers and sidecars belong to them in turn
     * @param regions regions; each has zones that follow one another
     * @param sources sources, each with every so-manyth server
     * @param loops event loops that share the hollow sidecars
     * @param startOver the time over which they start at first
     */
    public record Size(int hollow, int servers, int zones, int regions, int sources, int loops, long startOver) {
        /** The region of a zone. */
        public int region(int zone) {
            return zone * regions / zones;
        }
    }

    /**
     * Relays between the sources and the hollow sidecars, spread evenly over the zones.
     *
     * @param count how many; 0 has sources asked directly
     * @param processes whether each is a process of its own
     */
    public record RelayCount(int count, boolean processes) {}

    /** What an instance that comes back still knows. */
    public enum From {
        KNOWN,
        NOTHING
    }

    /** How a source's versions go on when it is back. */
    public enum Versions {
        SAME,
        LOWER
    }

    /**
     * One stage: all of it begins with the stage, and what is broken is mended at its end.
     *
     * @param length until what is broken is mended
     * @param settle the longest wait after that until all have all
     * @param changesADay changes spread evenly over the stage
     * @param burst servers of one zone that change
     * @param burstZone that zone
     * @param burstWithin the time over which they do
     * @param restart instances killed
     * @param from what they know when they are back
     * @param down how long they are gone
     * @param link what the network to {@code zones} is like
     * @param zones the zones that this is about
     * @param sourceDown how long all sources are gone
     * @param versions with which versions they are back
     * @param stalled instances that do not read
     * @param relaysKilled relays killed, the first ones
     * @param relaysDown how long they are gone
     */
    public record Stage(
            String name,
            long length,
            long settle,
            double changesADay,
            int burst,
            int burstZone,
            long burstWithin,
            int restart,
            From from,
            long down,
            SimulatedLink link,
            List<Integer> zones,
            long sourceDown,
            Versions versions,
            int stalled,
            int relaysKilled,
            long relaysDown) {}

    /** The most changes that the stages can make, the first entry of each server among them. */
    public int mostChanges() {
        double made = size.servers();
        for (Stage each : stages) {
            made += each.burst + each.changesADay * (each.length + each.settle) / 86_400e9 + 1;
        }
        int limit = Integer.MAX_VALUE / 8;
        return (int) Math.min(limit, made * 1.1 + 1_000);
    }
}
