package topazvalve.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import topazvalve.capacity.demand.DemandTable;
import topazvalve.capacity.demand.Estimate;
import topazvalve.capacity.demand.Origin;
import topazvalve.capacity.demand.ResourceDemand;
import topazvalve.capacity.demand.ResourceDemand.Tier;
import topazvalve.capacity.plan.CapacityPlan;
import topazvalve.capacity.plan.PlanFile;

/** Tests the output and the exit code of {@code measure capacity} on artificial values, without measuring. */
class CapacityTest {
    private static final Path PLAN = Path.of("../simulation/capacity/plan.toml");

    private static ResourceDemand demand(Tier tier, double value) {
        return new ResourceDemand(
                tier,
                "sidecar",
                "ordinary day",
                "memory",
                "MiB",
                new Estimate(value, Origin.MEASURED, "sidecar_resident"),
                256);
    }

    private static int print(StringWriter out, ResourceDemand... demands) throws IOException {
        CapacityPlan plan = PlanFile.read(PLAN);
        return CapacityVerb.print(new DemandTable(List.of(demands)), plan, new PrintWriter(out));
    }

    @Test
    void endsWithZeroWhenEveryBudgetIsKept() throws IOException {
        StringWriter out = new StringWriter();
        assertEquals(0, print(out, demand(Tier.BEFORE, 100), demand(Tier.AFTER, 256)));
        assertTrue(out.toString().contains("every budget is kept"), out.toString());
        assertTrue(out.toString().contains("| 1.00 | measured |"), out.toString());
    }

    @Test
    void endsWithOneAndNamesTheBudgetThatIsExceeded() throws IOException {
        StringWriter out = new StringWriter();
        assertEquals(1, print(out, demand(Tier.BEFORE, 100), demand(Tier.AFTER, 257)));
        assertTrue(out.toString().contains("after: sidecar, ordinary day, memory: 1.00 times"), out.toString());
        assertTrue(out.toString().contains("1 budgets are not kept"), out.toString());
    }

    @Test
    void endsWithTwoBeforeMeasuringWhenThePlanIsInvalid(@TempDir Path directory) throws IOException {
        Path file = directory.resolve("plan.toml");
        Files.writeString(file, Files.readString(PLAN).replace("restarted_together", "restart_together"));
        assertEquals(2, Main.run("measure", "capacity", file.toString()));
        assertEquals(
                2,
                Main.run("measure", "capacity", directory.resolve("none.toml").toString()));
    }
}
