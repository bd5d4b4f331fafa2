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
            "Measures how long a start takes on a whole, a half and a quarter of a core.",
            "Busy processes on the same core take the rest; the scheduler divides the CPU time evenly."
        })
final class MeasureStartVerb extends Verb {
    /** The numbers of equal parts into which a core is divided; a start gets one part. */
    private static final int[] CORE_PARTS = {1, 2, 4};

    @Option(names = "--times", defaultValue = "5", description = "starts at each fraction of a core (${DEFAULT-VALUE})")
    private int times;

    @Option(names = "--core", defaultValue = "7", description = "the number of the core (${DEFAULT-VALUE})")
    private int core;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (times < 1 || core < 0) {
            throw new InvalidInputException("--times must be at least 1, --core at least 0");
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
        return ExitCode.SUCCESS;
    }
}
