package topazvalve.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import topazvalve.simulation.experiment.Report;
import topazvalve.simulation.experiment.Result;
import topazvalve.simulation.real.RealTimeSimulation;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.statistics.RunResult;
import topazvalve.simulation.statistics.RunStatistics;

/** Runs a scenario on real sockets in real time, prints one line per second and writes a report. */
final class RealTimeRun {
    private RealTimeRun() {}

    /** Runs {@code scenario}, prints to {@code out}, and writes the report and the logs to {@code directory}. */
    static RunResult run(Scenario scenario, long seed, Path directory, PrintWriter out)
            throws IOException, InterruptedException {
        out.printf(
                "starting %d sidecars, %d stand-in order servers and discovery on loopback ...%n",
                scenario.fleet().instances(), scenario.fleet().servers());
        out.flush();
        Path outputDirectory = directory.toAbsolutePath();
        RunResult run = new RealTimeSimulation(scenario, seed, ProjectRoot.path(), outputDirectory)
                .run((second, activeFaults) -> {
                    out.println(line(second, activeFaults));
                    out.flush();
                });
        Path report = outputDirectory.resolve("report.html");
        Report.write(report, scenario.name() + ", real sockets, seed " + seed, List.of(Result.of(scenario, run)));
        Summary.print(out, scenario, run);
        out.println("report: " + report);
        out.flush();
        return run;
    }

    private static String line(RunStatistics.Second second, String activeFaults) {
        double percentInTime = second.sent() == 0 ? 100 : 100.0 * second.inTime() / second.sent();
        return String.format(
                Locale.ROOT,
                "%4d s %5d req/s  %5.1f%% within aim  p50 %4.0f ms  p99 %5.0f ms  %s",
                second.number() + 1,
                second.sent(),
                percentInTime,
                second.p50Ms(),
                second.p99Ms(),
                activeFaults.isEmpty() ? "" : "now: " + activeFaults);
    }
}
