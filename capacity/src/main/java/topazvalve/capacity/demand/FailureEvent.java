package topazvalve.capacity.demand;

import java.util.List;
import topazvalve.capacity.plan.CapacityPlan;

/**
 * A failure that the plan names, described by the load that it puts on discovery.
 *
 * @param name the name of the failure in the demand table
 * @param load the load that the sidecars cause
 * @param relays the relays that serve this load
 * @param possibleWithoutRelays whether the failure can also happen where sidecars call the source directly
 */
record FailureEvent(String name, Load load, Relays relays, boolean possibleWithoutRelays) {
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * The load that the sidecars cause.
     *
     * @param snapshotRequests sidecars that need the complete endpoint list
     * @param resumedWatches sidecars that resume their watch from the version that they have
     * @param missedChanges changes that each of these sidecars has missed
     * @param changes changes that every sidecar receives
     */
    record Load(int snapshotRequests, int resumedWatches, double missedChanges, int changes) {
        /** Returns the number of calls of all sidecars. */
        int calls() {
            return snapshotRequests + resumedWatches;
        }
    }

    /**
     * The relays that serve the load.
     *
     * @param count the number of relays
     * @param watchesEach watches on each of them after the failure
     * @param sourceCalls calls that relays make to the source because of the failure
     */
    record Relays(int count, int watchesEach, int sourceCalls) {}

    /** Returns the failures of a plan in the order in which they are printed. */
    static List<FailureEvent> of(CapacityPlan plan) {
        return List.of(
                restart(plan),
                rackLostAndBack(plan),
                zoneLost(plan),
                zoneBack(plan),
                regionBack(plan),
                allRelaysBack(plan),
                relaysLost(plan));
    }

    private static Relays allRelays(CapacityPlan plan, int sourceCalls) {
        return new Relays(plan.budget().control().machines(), plan.watchesPerMachine(), sourceCalls);
    }

    private static FailureEvent restart(CapacityPlan plan) {
        int restarted = plan.failure().restartedTogether();
        Load load = new Load(restarted, 0, 0, restarted * plan.load().changesPerRestart());
        return new FailureEvent("restart of " + restarted, load, allRelays(plan, 0), true);
    }

    private static FailureEvent rackLostAndBack(CapacityPlan plan) {
        int servers = plan.fleet().rack();
        Load load = new Load(servers, 0, 0, servers * plan.load().changesPerRestart());
        return new FailureEvent("a rack of " + servers + ", lost and back", load, allRelays(plan, 0), true);
    }

    private static FailureEvent zoneLost(CapacityPlan plan) {
        int servers = plan.fleet().largestZone();
        Load load = new Load(0, 0, 0, servers);
        return new FailureEvent("a zone of " + servers + " lost", load, allRelays(plan, 0), true);
    }

    private static FailureEvent zoneBack(CapacityPlan plan) {
        int servers = plan.fleet().largestZone();
        Load load = new Load(servers, 0, 0, servers);
        return new FailureEvent("a zone of " + servers + " back", load, allRelays(plan, 0), true);
    }

    private static FailureEvent regionBack(CapacityPlan plan) {
        long cutOffNanos = plan.failure().regionCutOffNanos();
        double missedChanges = plan.changesPerSecond() * cutOffNanos / NANOS_PER_SECOND;
        int relays =
                Math.max(1, plan.budget().control().machines() / plan.fleet().regions());
        return new FailureEvent(
                "a region back after " + (long) (cutOffNanos / NANOS_PER_SECOND) + " s",
                new Load(0, plan.sidecarsPerRegion(), missedChanges, 0),
                new Relays(relays, plan.watchesPerMachine(), relays),
                true);
    }

    private static FailureEvent allRelaysBack(CapacityPlan plan) {
        Load load = new Load(plan.fleet().servers(), 0, 0, 0);
        Relays relays = allRelays(plan, plan.budget().control().machines());
        return new FailureEvent("all that serve lists back at once", load, relays, true);
    }

    private static FailureEvent relaysLost(CapacityPlan plan) {
        int machines = plan.budget().control().machines();
        int lost = plan.failure().controlMachinesLost();
        int remaining = machines - lost;
        int watchesEach = CapacityPlan.ceilDiv(plan.fleet().servers(), remaining);
        return new FailureEvent(
                lost + " of " + machines + " control machines gone",
                new Load(0, lost * plan.watchesPerMachine(), 1, 0),
                new Relays(remaining, watchesEach, 0),
                false);
    }
}
