package topazvalve.simulation.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import topazvalve.simulation.scenario.Fault;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.tally.Run;
import topazvalve.simulation.tally.RunStatistics;

/** One run as a line of a file of results; times in milliseconds, fault times in seconds. */
public record Result(
        String scenario,
        String arm,
        long seed,
        double goal,
        double service,
        double worstWindow,
        double worstClass,
        List<OfClass> classes,
        RunStatistics.Sums sums,
        Map<String, Integer> broken,
        String digest,
        double wallS,
        List<RunStatistics.Second> seconds,
        List<Trouble> faults,
        long[] attemptsByServer,
        List<String> breaches) {

    /** One class. */
    public record OfClass(String name, double service, double p50, double p90, double p99, double p999) {}

    /** A fault as a report draws it. */
    public record Trouble(String kind, double from, double to) {}

    /** Of a run. */
    public static Result of(Scenario scenario, Run run) {
        RunStatistics tally = run.tally();
        List<OfClass> classes = new ArrayList<>();
        for (int i = 0; i < scenario.classes().size(); i++) {
            var latency = tally.latency(i);
            classes.add(new OfClass(
                    scenario.classes().get(i).name(),
                    tally.service(i),
                    latency.getValueAtPercentile(50) / 1e6,
                    latency.getValueAtPercentile(90) / 1e6,
                    latency.getValueAtPercentile(99) / 1e6,
                    latency.getValueAtPercentile(99.9) / 1e6));
        }
        List<RunStatistics.Second> seconds = new ArrayList<>();
        for (int i = 0; i < tally.seconds() - 1; i++) {
            seconds.add(tally.second(i));
        }
        List<Trouble> faults = new ArrayList<>();
        for (Fault each : run.faults()) {
            faults.add(new Trouble(
                    each.kind().name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'),
                    each.start() / 1e9,
                    (each.start() + each.length()) / 1e9));
        }
        Map<String, Integer> broken = new TreeMap<>();
        run.broken().forEach((rule, count) -> broken.put(rule.name(), count));
        return new Result(
                run.scenario(),
                run.arm(),
                run.seed(),
                tally.goal(),
                tally.service(),
                tally.worstWindow(),
                tally.worstClass(),
                classes,
                tally.sums(),
                broken,
                Long.toHexString(run.digest()),
                run.wallNanos() / 1e9,
                seconds,
                faults,
                run.attemptsByServer(),
                run.breaches().stream().limit(5).map(Object::toString).toList());
    }

    /** What tells it from the others in its file. */
    public String key() {
        return scenario + "/" + arm + "/" + seed;
    }
}
