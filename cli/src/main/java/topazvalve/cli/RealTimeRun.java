package topazvalve.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;
import topazvalve.simulation.experiment.Report;
import topazvalve.simulation.experiment.Result;
import topazvalve.simulation.real.RealWorld;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.tally.Run;
import topazvalve.simulation.tally.RunStatistics;

/** Plays a scenario on real sockets, with a line a second, and leaves a report. */
final class RealTimeRun {
    private RealTimeRun() {}

    /** Where this program was built, as the script says. */
    static Path home() {
        return Path.of(System.getProperty("topazvalve.home", "."))
                .toAbsolutePath()
                .normalize();
    }

    static Run play(Scenario scenario, long seed, Path folder, PrintWriter out)
            throws IOException, InterruptedException {
        out.printf(
                "starting %d sidecars, %d stand-in order servers and discovery on loopback ...%n",
                scenario.fleet().instances(), scenario.fleet().servers());
        out.flush();
        Path logs = folder.toAbsolutePath();
        Run run = new RealWorld(scenario, seed, home(), logs).play((second, wrong) -> {
            out.println(line(second, wrong));
            out.flush();
        });
        Path report = logs.resolve("report.html");
        Report.write(
                report, scenario.name() + ", real sockets, seed " + seed, java.util.List.of(Result.of(scenario, run)));
        Summary.print(out, scenario, run);
        out.println("report: " + report);
        out.flush();
        return run;
    }

    private static String line(RunStatistics.Second second, String wrong) {
        double within = second.asked() == 0 ? 100 : 100.0 * second.good() / second.asked();
        return String.format(
                Locale.ROOT,
                "%4d s %5d req/s  %5.1f%% within aim  p50 %4.0f ms  p99 %5.0f ms  %s",
                second.number() + 1,
                second.asked(),
                within,
                second.p50Ms(),
                second.p99Ms(),
                wrong.isEmpty() ? "" : "now: " + wrong);
    }
}
