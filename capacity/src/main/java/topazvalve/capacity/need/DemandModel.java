package topazvalve.capacity.need;

import java.util.ArrayList;
import java.util.List;
import topazvalve.capacity.need.ResourceDemand.Tier;
import topazvalve.capacity.plan.CapacityPlan;

/**
 * Puts the plan's sizes into the slopes: what each role needs on an ordinary day and in each named failure.
 * What comes at once is spread over the time in which a change has to be in force; calls are taken to be
 * spread evenly over the control machines. Relays that were not measured are reckoned by the source's slopes.
 */
public final class DemandModel {
    private static final String SIDECAR = "sidecar";
    private static final String SERVES = "serves lists";
    private static final String TAKES = "takes changes";
    private static final String SOURCE = "source";
    private static final String DAY = "ordinary day";
    private static final String CPU = "CPU";
    private static final String CORE = "% of a core";
    private static final String RATE = "B/s";
    private static final double MS = 1e3;
    private static final double PERCENT = 100;

    private final CapacityPlan plan;
    private final Slopes slopes;
    private final int servers;
    private final double window;
    private final List<ResourceDemand> needs = new ArrayList<>();

    private DemandModel(CapacityPlan plan, Slopes slopes) {
        this.plan = plan;
        this.slopes = slopes;
        this.servers = plan.fleet().servers();
        this.window = plan.budget().inForceWithin() / 1e9;
    }

    /** The whole table. */
    public static DemandTable of(CapacityPlan plan, Slopes slopes) {
        DemandModel made = new DemandModel(plan, slopes);
        for (Tier tier : Tier.values()) {
            made.ordinaryDay(tier);
            for (Event each : Event.of(plan)) {
                if (tier == Tier.AFTER || each.before()) {
                    made.event(tier, each);
                }
            }
        }
        return new DemandTable(made.needs);
    }

    private void add(Tier tier, String role, String when, String what, String unit, Figure need, double allowed) {
        needs.add(new ResourceDemand(tier, role, when, what, unit, need, allowed));
    }

    private Figure at(Quantity quantity, double size) {
        return slopes.at(quantity, size);
    }

    /** By who stands next to the sidecars: the source, or a relay, which may have no slope of its own yet. */
    private Figure served(Tier tier, Quantity source, Quantity relay, double size) {
        if (tier == Tier.BEFORE) {
            return at(source, size);
        }
        return slopes.has(relay) ? at(relay, size) : at(source, size).asReckoned();
    }

    private int watches(Tier tier) {
        return tier == Tier.BEFORE ? servers : plan.watchesPerMachine();
    }

    private Figure emptyLines() {
        return at(Quantity.SOURCE_REST_BYTES, 1);
    }

    private Figure changeBytes(double entries) {
        return at(Quantity.CHANGE_BYTES, 1).times(entries);
    }

    private void ordinaryDay(Tier tier) {
        double changes = plan.changesPerSecond();
        CapacityPlan.Sidecar allowed = plan.budget().sidecar();
        add(
                tier,
                SIDECAR,
                DAY,
                CPU,
                CORE,
                at(Quantity.SIDECAR_REST_CPU, servers)
                        .plus(at(Quantity.CHANGE_CPU, servers).times(changes * PERCENT / MS)),
                allowed.corePercent());
        add(tier, SIDECAR, DAY, "memory", "MiB", at(Quantity.SIDECAR_RESIDENT, servers), allowed.memoryMib());
        add(tier, SIDECAR, DAY, "bytes", RATE, emptyLines().plus(changeBytes(changes)), allowed.bytesPerSecond());
        if (tier == Tier.BEFORE && slopes.has(Quantity.CALL_ADDED_P99)) {
            double calls = plan.callsPerSidecar();
            double limit = plan.budget().addedP99() / 1e6;
            add(tier, SIDECAR, DAY, "delay added, p99", "ms", at(Quantity.CALL_ADDED_P99, calls), limit);
            add(
                    tier,
                    SIDECAR,
                    "ten times the calls",
                    "delay added, p99",
                    "ms",
                    at(Quantity.CALL_ADDED_P99, 10 * calls),
                    limit);
        }
        serving(tier, DAY, watches(tier), Figure.reckoned(0), Figure.reckoned(0), changes);
        add(tier, TAKES, DAY, "a change, to the last", "s", changeInForce(tier, watches(tier)), window);
        CapacityPlan.Load load = plan.load();
        double dailyCalls = tier == Tier.BEFORE ? (load.failuresPerDay() + load.restartsPerDay()) / 86_400 : 0;
        add(tier, SOURCE, DAY, "calls", "1/s", Figure.reckoned(dailyCalls), sourceCalls());
    }

    private double sourceCalls() {
        return plan.source().callsPerSecond().low();
    }

    /** Memory, CPU and bytes of one that serves. */
    private void serving(
            Tier tier, String when, int watches, Figure listBytes, Figure listCpu, double changesPerSecond) {
        CapacityPlan.Control allowed = plan.budget().control();
        Figure changeCpu = served(tier, Quantity.SOURCE_CHANGE_CPU, Quantity.RELAY_CHANGE_CPU, watches);
        add(
                tier,
                SERVES,
                when,
                CPU,
                CORE,
                served(tier, Quantity.SOURCE_REST_CPU, Quantity.RELAY_REST_CPU, watches)
                        .plus(changeCpu.times(changesPerSecond * PERCENT / MS))
                        .plus(listCpu),
                allowed.coresPerMachine() * PERCENT);
        if (when.equals(DAY) || watches > watches(tier)) {
            add(
                    tier,
                    SERVES,
                    when,
                    "memory",
                    "MiB",
                    served(tier, Quantity.SOURCE_MEMORY, Quantity.RELAY_MEMORY, watches),
                    allowed.memoryMibPerMachine());
        }
        add(
                tier,
                SERVES,
                when,
                "bytes",
                RATE,
                emptyLines().plus(changeBytes(changesPerSecond)).times(watches).plus(listBytes),
                allowed.bytesPerSecondPerMachine());
    }

    /** From the source's telling until the last sidecar has it in force, in seconds. */
    private Figure changeInForce(Tier tier, int watches) {
        Figure last = served(tier, Quantity.SOURCE_CHANGE_TIME, Quantity.RELAY_CHANGE_TIME, watches);
        // A relay's own time begins at its source's telling.
        Figure hop = tier == Tier.BEFORE || slopes.has(Quantity.RELAY_CHANGE_TIME)
                ? Figure.reckoned(0)
                : at(Quantity.SOURCE_CHANGE_TIME, plan.budget().control().machines());
        return hop.plus(last).plus(at(Quantity.CHANGE_TIME, servers)).per(MS);
    }

    private void event(Tier tier, Event event) {
        sidecarIn(tier, event);
        boolean before = tier == Tier.BEFORE;
        int machines = before ? 1 : event.machines();
        int watches = before ? servers : event.watchesEach();
        int listsEach = -Math.floorDiv(-event.lists(), machines);
        int resumesEach = -Math.floorDiv(-event.resumes(), machines);
        Figure listCpu = listsEach == 0
                ? Figure.reckoned(0)
                : served(tier, Quantity.SOURCE_LISTS_CPU, Quantity.RELAY_LISTS_CPU, listsEach)
                        .times(PERCENT / window);
        Figure out = at(Quantity.LIST_BYTES, servers)
                .times(listsEach / window)
                .plus(changeBytes(event.missed() * resumesEach / window));
        serving(tier, event.name(), watches, out, listCpu, event.changes() / window);
        add(
                tier,
                event.calls() == 0 ? TAKES : SERVES,
                event.name(),
                "until the last has it",
                "s",
                untilLast(tier, event, listsEach, watches),
                window);
        double calls = before ? event.calls() : event.relayCalls();
        add(tier, SOURCE, event.name(), "calls", "1/s", Figure.reckoned(calls / window), sourceCalls());
    }

    private void sidecarIn(Tier tier, Event event) {
        Figure bytes = emptyLines().plus(changeBytes((event.changes() + event.missed()) / window));
        Figure cpu = at(Quantity.SIDECAR_REST_CPU, servers)
                .plus(at(Quantity.CHANGE_CPU, servers)
                        .times((event.changes() + event.missed()) * PERCENT / MS / window));
        if (event.lists() > 0) {
            bytes = bytes.plus(at(Quantity.LIST_BYTES, servers).times(1 / window));
            cpu = cpu.plus(at(Quantity.LIST_CPU, servers).times(PERCENT / MS / window));
        }
        CapacityPlan.Sidecar allowed = plan.budget().sidecar();
        add(tier, SIDECAR, event.name(), "bytes", RATE, bytes, allowed.bytesPerSecond());
        add(tier, SIDECAR, event.name(), CPU, CORE, cpu, allowed.corePercent());
    }

    /**
     * Calls wait for their turn at the source; relays answer as measured. Changes are passed on one after the
     * other by who serves while sidecars take them one after the other: what takes longer counts.
     */
    private Figure untilLast(Tier tier, Event event, int listsEach, int watches) {
        Figure time = Figure.reckoned((tier == Tier.BEFORE ? event.calls() : event.relayCalls()) / sourceCalls());
        if (event.lists() > 0) {
            time = time.plus(
                    tier == Tier.BEFORE
                            ? at(Quantity.LIST_TIME, servers).per(MS)
                            : served(tier, Quantity.SOURCE_LISTS_TIME, Quantity.RELAY_LISTS_TIME, listsEach)
                                    .plus(at(Quantity.LIST_TIME, servers).per(MS)));
        } else if (event.resumes() > 0) {
            time = time.plus(changeInForce(tier, watches));
        }
        if (event.changes() > 0) {
            Figure each = served(tier, Quantity.SOURCE_CHANGE_CPU, Quantity.RELAY_CHANGE_CPU, watches)
                    .orMore(at(Quantity.CHANGE_CPU, servers));
            time = time.plus(each.times(event.changes() / MS)).plus(changeInForce(tier, watches));
        }
        return time;
    }
}
