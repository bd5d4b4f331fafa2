package topazvalve.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import topazvalve.simulation.measure.RateMeasurement;

/** Measures the highest request rate that the packaged sidecar sustains. */
@Command(
        name = "rate",
        description = {
            "Measures the highest open-loop rate that one sidecar on one core sustains.",
            "Its p99 has to stay within 5 ms of that of the direct path; both are measured in the same run."
        })
final class MeasureRateVerb extends Verb {
    /** Smaller steps would take too many measurements to reach the limit. */
    private static final double MIN_FACTOR = 1.01;

    private static final double PERCENT = 100;

    @Option(
            names = "--from",
            paramLabel = "<first>",
            defaultValue = "1000",
            description = "the first rate, in requests per second (${DEFAULT-VALUE})")
    private double firstRate;

    @Option(
            names = "--factor",
            defaultValue = "1.25",
            description = "the ratio of each rate to the one before (${DEFAULT-VALUE})")
    private double factor;

    @Option(names = "--seconds", defaultValue = "5", description = "the duration at each rate (${DEFAULT-VALUE})")
    private int seconds;

    @Option(names = "--core", defaultValue = "7", description = "the sidecar's core; -1 for any (${DEFAULT-VALUE})")
    private int core;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (!(firstRate > 0 && factor > MIN_FACTOR && seconds > 0)) {
            throw new InvalidInputException("--from and --seconds must be greater than 0, --factor greater than 1.01");
        }
        Path workDirectory = createWorkDirectory();
        List<RateMeasurement.Step> steps = RateMeasurement.run(
                ProjectRoot.path(),
                workDirectory,
                firstRate,
                factor,
                Duration.ofSeconds(seconds),
                core,
                this::printStep);
        double highestRate = steps.stream()
                .filter(RateMeasurement.Step::isSustained)
                .mapToDouble(RateMeasurement.Step::rate)
                .max()
                .orElse(0);
        out().printf(Locale.ROOT, "carried: %.0f a second%n", highestRate);
        return ExitCode.of(highestRate > 0);
    }

    private void printStep(RateMeasurement.Step step) {
        out().printf(
                        Locale.ROOT,
                        "%8.0f/s  direct p50 %6.2f p99 %7.2f ms  through p50 %6.2f p99 %7.2f ms  "
                                + "CPU %5.0f us a request  %.2f%% bad%s%n",
                        step.rate(),
                        step.directP50(),
                        step.directP99(),
                        step.sidecarP50(),
                        step.sidecarP99(),
                        step.cpuMicros(),
                        PERCENT * step.unservedFraction(),
                        step.isSustained() ? "" : "  not carried");
        out().flush();
    }
}
