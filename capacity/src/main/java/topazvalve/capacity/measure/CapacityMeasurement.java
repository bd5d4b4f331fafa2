package topazvalve.capacity.measure;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.Locale;
import java.util.function.Consumer;
import topazvalve.capacity.fit.Fit;
import topazvalve.capacity.need.DemandModel;
import topazvalve.capacity.need.DemandTable;
import topazvalve.capacity.need.Quantity;
import topazvalve.capacity.need.Slopes;
import topazvalve.capacity.plan.CapacityPlan;

/** Measures all slopes and puts the plan's sizes into them. */
public final class CapacityMeasurement {
    private CapacityMeasurement() {}

    /**
     * Measures on this machine and returns the table; each line of what is found is said as it comes.
     *
     * @param home where the packaged sidecar lies
     * @param folder for the measured processes' files
     * @param quick fewer sizes and shorter, in under a minute
     */
    public static DemandTable run(CapacityPlan plan, Path home, Path folder, boolean quick, Consumer<String> say)
            throws IOException, InterruptedException {
        Points points = new Points(say);
        say.accept(machine(quick));
        new ListMeasurement(plan, home, folder, quick, points).run();
        new ServingMeasurement(plan, home, folder, quick, points).run();
        new CallMeasurement(plan, home, folder, quick, points).run();
        ConnectionMeasurement.run(home.resolve("simulation/capacity/connections.toml"), quick, points);
        Slopes slopes = points.fit();
        say.accept(machine(quick));
        say.accept("");
        say.accept("| slope | per | at 0 | for each | r2 | worst | sizes | bend |");
        say.accept("| --- | --- | --- | --- | --- | --- | --- | --- |");
        slopes.all().forEach((quantity, fit) -> say.accept(line(quantity, fit)));
        if (!slopes.has(Quantity.CALL_ADDED_P99)) {
            say.accept("not decided: the delay added to a call, which has no line in the table");
        }
        return DemandModel.of(plan, slopes);
    }

    private static String machine(boolean quick) {
        return String.format(
                Locale.ROOT,
                "%d cores, load %.1f, Java %s%s",
                Runtime.getRuntime().availableProcessors(),
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage(),
                Runtime.version().feature(),
                quick ? ", quick: fewer sizes, shorter" : "");
    }

    private static String line(Quantity quantity, Fit fit) {
        String bend = fit.bend()
                .map(each -> String.format(
                        Locale.ROOT,
                        "bends above %.4g: %.3g for each below, %.3g above",
                        each.above(),
                        each.lower().slope(),
                        each.upper().slope()))
                .orElse("none");
        return String.format(
                Locale.ROOT,
                "| %s | %s | %.4g %s | %.3g | %.3f | %.0f%% | %d, %.4g to %.4g | %s |",
                quantity.label(),
                quantity.per(),
                fit.line().intercept(),
                quantity.unit(),
                fit.line().slope(),
                fit.line().determination(),
                fit.worstPercent(),
                fit.points().size(),
                fit.points().get(0).x(),
                fit.largest(),
                bend);
    }
}
