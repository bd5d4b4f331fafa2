package topazvalve.capacity.plan;

import java.io.IOException;
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
 * Reads a capacity plan from a TOML file. Every key is required, since a plan has no sensible defaults. All problems of
 * a file are reported at once, each with its line.
 */
public final class PlanFile {
    private static final int MAX_SERVERS = 100_000;
    private static final int MAX_CONTROL_MACHINES = 1000;

    private PlanFile() {}

    /**
     * Reads a file.
     *
     * @throws InvalidFileException if the file has problems
     * @throws IOException if the file cannot be read
     */
    public static CapacityPlan read(Path file) throws IOException {
        return TomlFile.read(file, PlanFile::readPlan);
    }

    /**
     * Reads the text of a file.
     *
     * @param name the name of the file in messages
     * @throws InvalidFileException if the text has problems
     */
    public static CapacityPlan parse(String name, String text) {
        return TomlFile.parse(name, text, PlanFile::readPlan);
    }

    private static CapacityPlan readPlan(Table table) {
        String name = table.string("name", null);
        Table fleetTable = table.table("fleet");
        Table failureTable = table.table("failure");
        Table budgetTable = table.table("budget");
        Fleet fleet = readFleet(fleetTable);
        Load load = readLoad(table.table("load"));
        Control control = readControl(budgetTable.table("control"));
        Failure failure = readFailure(failureTable, fleet, control);
        Budget budget = new Budget(
                budgetTable.duration("in_force_within", null, "10ms", "10m"),
                budgetTable.duration("added_p99", null, "1us", "1s"),
                readSidecar(budgetTable.table("sidecar")),
                control);
        return new CapacityPlan(name, fleet, load, failure, budget, readSource(table.table("source")));
    }

    private static Failure readFailure(Table table, Fleet fleet, Control control) {
        Failure failure = new Failure(
                table.integer("restarted_together", null, 1, MAX_SERVERS),
                table.duration("region_cut_off", null, "1s", "60m"),
                table.integer("control_machines_lost", null, 1, MAX_CONTROL_MACHINES));
        requireAtMostServers(table, "restarted_together", failure.restartedTogether(), fleet.servers());
        if (failure.controlMachinesLost() >= control.machines()) {
            table.addProblem("control_machines_lost", "must be less than budget.control.machines");
        }
        return failure;
    }

    private static Fleet readFleet(Table table) {
        Fleet fleet = new Fleet(
                table.integer("servers", null, 1, MAX_SERVERS),
                table.integer("services", null, 1, MAX_SERVERS),
                table.integer("regions", null, 1, 100),
                table.integer("zones", null, 1, 1000),
                table.integer("largest_zone", null, 1, MAX_SERVERS),
                table.integer("rack", null, 1, 1000),
                table.integer("deepest_chain", null, 1, 100),
                table.integer("callers_of_a_server", null, 1, MAX_SERVERS));
        requireAtMostServers(table, "services", fleet.services(), fleet.servers());
        requireAtMostServers(table, "largest_zone", fleet.largestZone(), fleet.servers());
        requireAtMostServers(table, "rack", fleet.rack(), fleet.servers());
        requireAtMostServers(table, "callers_of_a_server", fleet.callersOfServer(), fleet.servers());
        if (fleet.zones() < fleet.regions()) {
            table.addProblem("zones", "must be at least fleet.regions");
        }
        return fleet;
    }

    private static void requireAtMostServers(Table table, String key, int value, int servers) {
        if (value > servers) {
            table.addProblem(key, "must be at most fleet.servers");
        }
    }

    private static Load readLoad(Table table) {
        return new Load(
                table.number("calls_per_second", null, 1, 1e9),
                table.number("changes_per_day", null, 0, 1e9),
                table.number("failures_per_day", null, 0, 1e6),
                table.number("restarts_per_day", null, 0, 1e6),
                table.integer("changes_per_restart", null, 1, 10));
    }

    private static Sidecar readSidecar(Table table) {
        return new Sidecar(
                table.number("core_percent", null, 0.01, 10_000),
                table.number("memory_mib", null, 1, 1e6),
                table.number("bytes_per_second", null, 1, 1e9));
    }

    private static Control readControl(Table table) {
        return new Control(
                table.integer("machines", null, 1, MAX_CONTROL_MACHINES),
                table.integer("cores_per_machine", null, 1, 1024),
                table.number("memory_mib_per_machine", null, 1, 1e8),
                table.number("bytes_per_second_per_machine", null, 1, 1e12));
    }

    private static Source readSource(Table table) {
        if (!table.has("calls_per_second")) {
            // Table.range reports a missing key, too, with its bounds.
            table.addProblem("calls_per_second", "missing; a number, or two in brackets");
        }
        return new Source(
                table.range("calls_per_second", null, 0.01, 1e6),
                table.duration("timeout", null, "1ms", "10m"),
                table.duration("empty_line_every", null, "100ms", "10m"));
    }
}
