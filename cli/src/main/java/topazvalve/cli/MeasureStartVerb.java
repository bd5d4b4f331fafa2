package topazvalve.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import topazvalve.simulation.measure.StartMeasurement;

/** Measures how long the packaged sidecar takes until it is ready. */
@Command(
        name = "start",
        description = {
            "How long a start takes on a whole core, a half and a quarter of one: " + "beside busy processes",
            "on the same core, which the scheduler shares out evenly."
        })
final class MeasureStartVerb extends Verb {
    /** A start gets one part of so many of a core. */
    private static final int[] CORE_PARTS = {1, 2, 4};

    @Option(names = "--times", defaultValue = "5", description = "starts at each share (${DEFAULT-VALUE})")
    private int times;

    @Option(names = "--core", defaultValue = "7", description = "the core (${DEFAULT-VALUE})")
    private int core;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (times < 1 || core < 0) {
            throw new InvalidInputException("--times has to be above 0, --core a core's number");
        }
        PrintWriter out = out();
        Path workDirectory = createWorkDirectory();
        for (int parts : CORE_PARTS) {
            StartMeasurement.StartTimes startTimes =
                    StartMeasurement.run(ProjectRoot.path(), workDirectory, core, parts, times);
            out.printf(
                    Locale.ROOT,
                    "%.2f of a core: ready in %.2f s (median of %d; %.2f to %.2f), CPU %.2f s%n",
                    1.0 / parts,
                    startTimes.median(),
                    times,
                    startTimes.seconds().get(0),
                    startTimes.seconds().get(times - 1),
                    startTimes.medianCpu());
            out.flush();
        }
        return ExitCode.DONE;
    }
}
