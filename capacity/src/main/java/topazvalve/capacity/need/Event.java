package topazvalve.capacity.need;

import java.util.ArrayList;
import java.util.List;
import topazvalve.capacity.plan.CapacityPlan;

/**
 * Something that goes wrong at once, as the plan names it, by what it asks of control.
 *
 * @param lists sidecars that need the whole list
 * @param resumes sidecars that open their watch again from the version that they have
 * @param missed changes that each of these has missed
 * @param changes entries that change for everybody
 * @param machines control machines that answer these calls
 * @param watchesEach watches that each of them holds afterwards
 * @param relayCalls calls that control machines in their turn make to the source
 * @param before whether it can happen where sidecars call the source themselves
 */
record Event(
        String name,
        int lists,
        int resumes,
        double missed,
        int changes,
        int machines,
        int watchesEach,
        int relayCalls,
        boolean before) {
    private static final double NANOS = 1e9;

    /** Calls in all. */
    int calls() {
        return lists + resumes;
    }

    static List<Event> of(CapacityPlan plan) {
        int all = plan.budget().control().machines();
        int each = plan.watchesPerMachine();
        int lost = plan.failure().controlMachinesLost();
        int perRestart = plan.load().changesPerRestart();
        int region = plan.sidecarsOfRegion();
        int regional = Math.max(1, all / plan.fleet().regions());
        int zone = plan.fleet().largestZone();
        double missed = plan.changesPerSecond() * plan.failure().regionCutOff() / NANOS;
        List<Event> events = new ArrayList<>();
        int together = plan.failure().restartedTogether();
        events.add(new Event("restart of " + together, together, 0, 0, together * perRestart, all, each, 0, true));
        events.add(new Event(
                "a rack of " + plan.fleet().rack() + ", lost and back",
                plan.fleet().rack(),
                0,
                0,
                plan.fleet().rack() * perRestart,
                all,
                each,
                0,
                true));
        events.add(new Event("a zone of " + zone + " lost", 0, 0, 0, zone, all, each, 0, true));
        events.add(new Event("a zone of " + zone + " back", zone, 0, 0, zone, all, each, 0, true));
        events.add(new Event(
                "a region back after " + (long) (plan.failure().regionCutOff() / NANOS) + " s",
                0,
                region,
                missed,
                0,
                regional,
                each,
                regional,
                true));
        events.add(
                new Event("all that serve lists back at once", plan.fleet().servers(), 0, 0, 0, all, each, all, true));
        events.add(new Event(
                lost + " of " + all + " control machines gone",
                0,
                lost * each,
                1,
                0,
                all - lost,
                -Math.floorDiv(-plan.fleet().servers(), all - lost),
                0,
                false));
        return events;
    }
}
