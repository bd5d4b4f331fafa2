package topazvalve.capacity.measure;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.Locale;
import java.util.function.Consumer;
import topazvalve.capacity.demand.DemandModel;
import topazvalve.capacity.demand.DemandTable;
import topazvalve.capacity.demand.Quantity;
import topazvalve.capacity.demand.Slopes;
import topazvalve.capacity.fit.Fit;
import topazvalve.capacity.plan.CapacityPlan;

/** Measures all slopes on this machine and estimates the demand at the plan's size from them. */
public final class CapacityMeasurement {
    private CapacityMeasurement() {}

    /**
     * Measures and returns the demand table; a full run takes about six minutes.
     *
     * @param repositoryRoot the directory that contains the packaged programs
     * @param workFolder the directory for the files of the measured processes
     * @param quick whether to measure fewer sizes and for a shorter time
     * @param output receives the lines that report progress
     * @throws IOException if a measured process cannot be started, fails or does not respond in time
     */
    public static DemandTable run(
            CapacityPlan plan, Path repositoryRoot, Path workFolder, boolean quick, Consumer<String> output)
            throws IOException, InterruptedException {
        MeasurementRecorder recorder = new MeasurementRecorder(output);
        MeasurementContext context = new MeasurementContext(plan, repositoryRoot, workFolder, quick, recorder);
        output.accept(describeMachine(quick));
        new ListMeasurement(context).run();
        new ServingMeasurement(context).run();
        new CallMeasurement(context).run();
        ConnectionMeasurement.run(context);
        Slopes slopes = recorder.fit();
        output.accept(describeMachine(quick));
        printSlopes(slopes, output);
        return DemandModel.of(plan, slopes);
    }

    private static String describeMachine(boolean quick) {
        return String.format(
                Locale.ROOT,
                "%d cores, load %.1f, Java %s%s",
                Runtime.getRuntime().availableProcessors(),
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage(),
                Runtime.version().feature(),
                quick ? ", quick: fewer sizes, shorter" : "");
    }

    private static void printSlopes(Slopes slopes, Consumer<String> output) {
        output.accept("");
        output.accept("| slope | per | at 0 | for each | r2 | worst | sizes | bend |");
        output.accept("| --- | --- | --- | --- | --- | --- | --- | --- |");
        slopes.all().forEach((quantity, fit) -> output.accept(line(quantity, fit)));
        if (!slopes.has(Quantity.CALL_ADDED_P99)) {
            output.accept("not decided: the delay added to a call, which has no row in the table");
        }
    }

    private static String line(Quantity quantity, Fit fit) {
        return String.format(
                Locale.ROOT,
                "| %s | %s | %.4g %s | %.3g | %.3f | %.0f%% | %d, %.4g to %.4g | %s |",
                quantity.label(),
                quantity.sizeUnit(),
                fit.line().intercept(),
                quantity.unit(),
                fit.line().slope(),
                fit.line().rSquared(),
                fit.maxResidualPercent(),
                fit.points().size(),
                fit.points().get(0).x(),
                fit.maxSize(),
                fit.breakpoint().map(CapacityMeasurement::describe).orElse("none"));
    }

    private static String describe(Fit.Breakpoint breakpoint) {
        return String.format(
                Locale.ROOT,
                "bends above %.4g: %.3g for each below, %.3g above",
                breakpoint.size(),
                breakpoint.lower().slope(),
                breakpoint.upper().slope());
    }
}
