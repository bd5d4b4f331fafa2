package topazvalve.capacity.demand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import topazvalve.capacity.demand.ResourceDemand.Tier;
import topazvalve.capacity.fit.Fit;
import topazvalve.capacity.fit.Point;
import topazvalve.capacity.plan.CapacityPlan;
import topazvalve.capacity.plan.PlanFile;

/** The demand table calculated from artificial slopes with round numbers. */
class DemandModelTest {
    private final Slopes slopes = new Slopes();
    private CapacityPlan plan;

    private void putLine(Quantity quantity, double intercept, double slope, double... sizes) {
        List<Point> points = new ArrayList<>();
        for (double size : sizes) {
            points.add(new Point(size, intercept + slope * size));
        }
        slopes.put(quantity, Fit.of(points));
    }

    @BeforeEach
    void createSlopes() throws IOException {
        plan = PlanFile.read(Path.of("../simulation/capacity/plan.toml"));
        for (Quantity quantity : Quantity.values()) {
            if (!quantity.name().startsWith("RELAY")) {
                putLine(quantity, 0, 0, 1, 1_000, 6_000);
            }
        }
        putLine(Quantity.SIDECAR_RESIDENT, 100, 0.01, 100, 1_500, 5_700);
        putLine(Quantity.LIST_BYTES, 0, 150, 100, 1_500, 5_700);
        putLine(Quantity.CHANGE_BYTES, 0, 200, 1, 10, 100);
        putLine(Quantity.SOURCE_REST_BYTES, 3, 0, 1, 100, 1_000);
        putLine(Quantity.SOURCE_MEMORY, 50, 0.1, 100, 356, 1_000);
    }

    private ResourceDemand find(Tier tier, String role, String situation, String resource) {
        List<ResourceDemand> found = DemandModel.of(plan, slopes).rows().stream()
                .filter(row -> row.tier() == tier
                        && row.role().equals(role)
                        && row.situation().startsWith(situation)
                        && row.resource().equals(resource))
                .toList();
        assertEquals(1, found.size(), found.toString());
        return found.get(0);
    }

    @Test
    void sidecarMemoryIsInterpolatedOnItsLine() {
        ResourceDemand demand = find(Tier.BEFORE, "sidecar", "ordinary", "memory");
        assertEquals(157, demand.demand().value(), 1e-9);
        assertEquals(256, demand.budget());
        assertEquals(Origin.MEASURED, demand.demand().origin());
        assertEquals("sidecar_resident", demand.demand().basis());
        assertFalse(demand.exceedsBudget());
    }

    @Test
    void valueBeyondTheMeasuredSizesIsExtrapolated() {
        assertEquals(
                Origin.EXTRAPOLATED,
                find(Tier.BEFORE, "serves lists", "ordinary", "memory").demand().origin());
        assertEquals(
                50 + 570,
                find(Tier.BEFORE, "serves lists", "ordinary", "memory").demand().value(),
                1e-9);
    }

    @Test
    void relayWithoutMeasuredSlopeIsEstimatedByTheSources() {
        ResourceDemand demand = find(Tier.AFTER, "serves lists", "ordinary", "memory");
        assertEquals(Origin.CALCULATED, demand.demand().origin());
        assertEquals("source_memory", demand.demand().basis());
        assertEquals(50 + 35.7, demand.demand().value(), 1e-9);
        putLine(Quantity.RELAY_MEMORY, 70, 0.2, 100, 356, 1_000);
        demand = find(Tier.AFTER, "serves lists", "ordinary", "memory");
        assertEquals(Origin.MEASURED, demand.demand().origin());
        assertEquals("relay_memory", demand.demand().basis());
        assertEquals(70 + 71.4, demand.demand().value(), 1e-9);
    }

    @Test
    void singleSourceNeedsHalfAnHourForAllSidecars() {
        ResourceDemand demand = find(Tier.BEFORE, "serves lists", "all that serve", "until the last has it");
        assertEquals(1_900, demand.demand().value(), 1e-9);
        assertEquals(1_900 / 9.0, demand.ratio(), 1e-9);
        assertTrue(demand.exceedsBudget());
        assertFalse(DemandModel.of(plan, slopes).isWithinBudget(Tier.BEFORE));
        demand = find(Tier.AFTER, "serves lists", "all that serve", "until the last has it");
        assertEquals(16 / 3.0, demand.demand().value(), 1e-9);
        assertFalse(demand.exceedsBudget());
    }

    @Test
    void completeListIsSpreadOverTheTimeInWhichItHasToBeInForce() {
        ResourceDemand demand = find(Tier.AFTER, "sidecar", "restart of", "bytes");
        assertEquals(3 + (1_050 * 200 + 5_700 * 150) / 9.0, demand.demand().value(), 1e-6);
        assertEquals(6_000, demand.budget());
        assertTrue(demand.exceedsBudget());
        assertEquals(
                3 + 440 * 200 / 9.0,
                find(Tier.AFTER, "sidecar", "a zone of 440 lost", "bytes")
                        .demand()
                        .value(),
                1e-6);
    }

    @Test
    void watchesOfLostControlMachinesMoveToTheOthers() {
        ResourceDemand demand = find(Tier.AFTER, "serves lists", "8 of 16", "memory");
        assertEquals(50 + 71.3, demand.demand().value(), 1e-9);
        assertTrue(DemandModel.of(plan, slopes).rows().stream()
                .noneMatch(row -> row.tier() == Tier.BEFORE && row.situation().startsWith("8 of 16")));
    }

    @Test
    void slowChangesAloneExceedABudget() {
        putLine(Quantity.LIST_BYTES, 0, 0, 100, 1_500, 5_700);
        putLine(Quantity.CHANGE_BYTES, 0, 0, 1, 10, 100);
        DemandTable withinBudget = DemandModel.of(plan, slopes);
        assertTrue(
                withinBudget.isWithinBudget(Tier.AFTER), withinBudget.exceeded().toString());
        putLine(Quantity.CHANGE_TIME, 9_001, 0, 100, 1_500, 5_700);
        DemandTable overBudget = DemandModel.of(plan, slopes);
        assertFalse(overBudget.isWithinBudget(Tier.AFTER));
        assertTrue(overBudget.exceeded().stream().anyMatch(row -> row.resource().equals("a change, to the last")));
    }

    @Test
    void tableListsExceededBudgetsTheHighestRatioFirst() {
        List<ResourceDemand> exceeded = DemandModel.of(plan, slopes).exceeded();
        assertTrue(exceeded.size() > 1);
        for (int i = 1; i < exceeded.size(); i++) {
            assertTrue(exceeded.get(i - 1).ratio() >= exceeded.get(i).ratio());
        }
        List<String> lines = DemandModel.of(plan, slopes).lines(Tier.BEFORE);
        assertTrue(
                lines.stream()
                        .anyMatch(line -> line.equals("| sidecar | ordinary day | memory | 157 MiB "
                                + "| 256 MiB | 0.613 | measured | sidecar_resident |")),
                String.join("\n", lines));
        assertTrue(
                lines.stream().anyMatch(line -> line.contains("1,900 s | 9.00 s | **211**")), String.join("\n", lines));
    }

    @Test
    void delayThatWasNotMeasuredHasNoRow() {
        assertEquals(2, delays(slopes));
        Slopes without = new Slopes();
        slopes.all().forEach((quantity, fit) -> {
            if (quantity != Quantity.CALL_ADDED_P99) {
                without.put(quantity, fit);
            }
        });
        assertEquals(0, delays(without));
    }

    private long delays(Slopes measured) {
        return DemandModel.of(plan, measured).rows().stream()
                .filter(row -> row.resource().startsWith("delay"))
                .count();
    }

    @Test
    void missingSlopeIsAnError() {
        assertTrue(assertThrows(NotMeasuredException.class, () -> DemandModel.of(plan, new Slopes()))
                .getMessage()
                .startsWith("not measured: "));
    }
}
