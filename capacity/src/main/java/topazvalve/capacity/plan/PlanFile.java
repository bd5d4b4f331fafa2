package topazvalve.capacity.plan;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import topazvalve.capacity.plan.CapacityPlan.Budget;
import topazvalve.capacity.plan.CapacityPlan.Control;
import topazvalve.capacity.plan.CapacityPlan.Failure;
import topazvalve.capacity.plan.CapacityPlan.Fleet;
import topazvalve.capacity.plan.CapacityPlan.Load;
import topazvalve.capacity.plan.CapacityPlan.Sidecar;
import topazvalve.capacity.plan.CapacityPlan.Source;
import topazvalve.toml.InvalidFileException;
import topazvalve.toml.Table;
import topazvalve.toml.TomlFile;

/**
 * Reads a plan from TOML 1.0. Every key has to be given, since none has a default that anyone would plan by;
 * all faults of a file are told at once, each with its line.
 */
public final class PlanFile {
    private static final int MOST_SERVERS = 100_000;

    private PlanFile() {}

    /** Reads a file; {@link InvalidFileException} if it has faults. */
    public static CapacityPlan read(Path file) throws IOException {
        return parse(file.toString(), Files.readString(file));
    }

    /** Reads a text; {@code name} stands for it in messages. */
    public static CapacityPlan parse(String name, String text) {
        return TomlFile.parse(name, text, PlanFile::plan);
    }

    private static CapacityPlan plan(Table table) {
        String name = table.text("name", null);
        Table fleetTable = table.table("fleet");
        Table failureTable = table.table("failure");
        Table budgetTable = table.table("budget");
        Fleet fleet = fleet(fleetTable);
        Load load = load(table.table("load"));
        Control control = control(budgetTable.table("control"));
        Failure failure = new Failure(
                failureTable.whole("restarted_together", null, 1, MOST_SERVERS),
                failureTable.duration("region_cut_off", null, "1s", "60m"),
                failureTable.whole("control_machines_lost", null, 1, 1000));
        if (failure.restartedTogether() > fleet.servers()) {
            failureTable.wrong("restarted_together", "is more than there are servers");
        }
        if (failure.controlMachinesLost() >= control.machines()) {
            failureTable.wrong("control_machines_lost", "leaves none of budget.control.machines");
        }
        Budget budget = new Budget(
                budgetTable.duration("in_force_within", null, "10ms", "10m"),
                budgetTable.duration("added_p99", null, "1us", "1s"),
                sidecar(budgetTable.table("sidecar")),
                control);
        return new CapacityPlan(name, fleet, load, failure, budget, source(table.table("source")));
    }

    private static Fleet fleet(Table table) {
        Fleet fleet = new Fleet(
                table.whole("servers", null, 1, MOST_SERVERS),
                table.whole("services", null, 1, MOST_SERVERS),
                table.whole("regions", null, 1, 100),
                table.whole("zones", null, 1, 1000),
                table.whole("largest_zone", null, 1, MOST_SERVERS),
                table.whole("rack", null, 1, 1000),
                table.whole("deepest_chain", null, 1, 100),
                table.whole("callers_of_a_server", null, 1, MOST_SERVERS));
        notMore(table, "services", fleet.services(), fleet.servers());
        notMore(table, "largest_zone", fleet.largestZone(), fleet.servers());
        notMore(table, "rack", fleet.rack(), fleet.servers());
        notMore(table, "callers_of_a_server", fleet.callersOfServer(), fleet.servers());
        if (fleet.zones() < fleet.regions()) {
            table.wrong("zones", "are fewer than the regions that they are in");
        }
        return fleet;
    }

    private static void notMore(Table table, String key, int value, int servers) {
        if (value > servers) {
            table.wrong(key, "is more than there are servers");
        }
    }

    private static Load load(Table table) {
        return new Load(
                table.number("calls_per_second", null, 1, 1e9),
                table.number("changes_per_day", null, 0, 1e9),
                table.number("failures_per_day", null, 0, 1e6),
                table.number("restarts_per_day", null, 0, 1e6),
                table.whole("changes_per_restart", null, 1, 10));
    }

    private static Sidecar sidecar(Table table) {
        return new Sidecar(
                table.number("core_percent", null, 0.01, 10_000),
                table.number("memory_mib", null, 1, 1e6),
                table.number("bytes_per_second", null, 1, 1e9));
    }

    private static Control control(Table table) {
        return new Control(
                table.whole("machines", null, 1, 1000),
                table.whole("cores_per_machine", null, 1, 1024),
                table.number("memory_mib_per_machine", null, 1, 1e8),
                table.number("bytes_per_second_per_machine", null, 1, 1e12));
    }

    private static Source source(Table table) {
        if (!table.has("calls_per_second")) {
            // A range has no way to be required.
            table.wrong("calls_per_second", "missing; a number, or two in brackets");
        }
        return new Source(
                table.range("calls_per_second", null, 0.01, 1e6),
                table.duration("timeout", null, "1ms", "10m"),
                table.duration("empty_line_every", null, "100ms", "10m"));
    }
}
