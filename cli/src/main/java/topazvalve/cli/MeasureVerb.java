package topazvalve.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import topazvalve.simulation.measure.RateMeasurement;
import topazvalve.simulation.measure.StartMeasurement;

/** Measures the packaged sidecar on this machine. */
@Command(
        name = "measure",
        description = "Measures the packaged sidecar: the rate it carries, the time it takes to start, "
                + "what the planned size needs.",
        synopsisSubcommandLabel = "rate|start|capacity",
        subcommands = {MeasureVerb.Rate.class, MeasureVerb.Start.class, CapacityVerb.class})
final class MeasureVerb implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    /** The highest rate. */
    @Command(
            name = "rate",
            description = {
                "The highest open-loop rate that one sidecar on one core carries with a " + "p99 within 5 ms",
                "of the direct path's, both measured side by side in one run."
            })
    static final class Rate implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--from", defaultValue = "1000", description = "first rate, a second (${DEFAULT-VALUE})")
        private double first;

        @Option(names = "--factor", defaultValue = "1.25", description = "from one rate to the next (${DEFAULT-VALUE})")
        private double factor;

        @Option(names = "--seconds", defaultValue = "5", description = "at each rate (${DEFAULT-VALUE})")
        private int seconds;

        @Option(names = "--core", defaultValue = "7", description = "the sidecar's core; -1 for any (${DEFAULT-VALUE})")
        private int core;

        @Override
        public Integer call() throws IOException, InterruptedException {
            if (!(first > 0 && factor > 1.01 && seconds > 0)) {
                throw new InvalidInputException("--from and --seconds have to be above 0, --factor above 1.01", null);
            }
            PrintWriter out = spec.commandLine().getOut();
            Path folder = Files.createTempDirectory("topazvalve");
            List<RateMeasurement.Step> steps = RateMeasurement.run(
                    RealTimeRun.home(), folder, first, factor, Duration.ofSeconds(seconds), core, step -> {
                        out.printf(
                                Locale.ROOT,
                                "%8.0f/s  direct p50 %6.2f p99 %7.2f ms  through p50 %6.2f p99 %7.2f ms  "
                                        + "CPU %5.0f us a request  %.2f%% bad%s%n",
                                step.rate(),
                                step.directP50(),
                                step.directP99(),
                                step.throughP50(),
                                step.throughP99(),
                                step.cpuMicros(),
                                100 * step.badShare(),
                                step.carried() ? "" : "  not carried");
                        out.flush();
                    });
            double highest = steps.stream()
                    .filter(RateMeasurement.Step::carried)
                    .mapToDouble(RateMeasurement.Step::rate)
                    .max()
                    .orElse(0);
            out.printf(Locale.ROOT, "carried: %.0f a second%n", highest);
            return highest > 0 ? ExitCode.DONE : ExitCode.FAILED;
        }
    }

    /** The time to ready. */
    @Command(
            name = "start",
            description = {
                "How long a start takes on a whole core, a half and a quarter of one: " + "beside busy processes",
                "on the same core, which the scheduler shares out evenly."
            })
    static final class Start implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--times", defaultValue = "5", description = "starts at each share (${DEFAULT-VALUE})")
        private int times;

        @Option(names = "--core", defaultValue = "7", description = "the core (${DEFAULT-VALUE})")
        private int core;

        @Override
        public Integer call() throws IOException, InterruptedException {
            if (times < 1 || core < 0) {
                throw new InvalidInputException("--times has to be above 0, --core a core's number", null);
            }
            PrintWriter out = spec.commandLine().getOut();
            Path folder = Files.createTempDirectory("topazvalve");
            for (int parts : new int[] {1, 2, 4}) {
                StartMeasurement.Share share = StartMeasurement.run(RealTimeRun.home(), folder, core, parts, times);
                out.printf(
                        Locale.ROOT,
                        "%.2f of a core: ready in %.2f s (median of %d; %.2f to %.2f), CPU %.2f s%n",
                        1.0 / parts,
                        share.median(),
                        times,
                        share.seconds().get(0),
                        share.seconds().get(times - 1),
                        share.medianCpu());
                out.flush();
            }
            return ExitCode.DONE;
        }
    }
}
