package topazvalve.simulation.experiment;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import topazvalve.simulation.scenario.Fault;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.statistics.RunResult;
import topazvalve.simulation.statistics.RunStatistics;
import topazvalve.toml.Table;

/**
 * The result of one run, stored as one line of the results file. The JSON keys are the names given by annotations, or
 * else those of the components.
 *
 * @param violationCounts how often each rule was violated, by the rule's name
 * @param digest the run's digest in hexadecimal
 * @param wallSeconds the wall-clock duration of the run in seconds
 * @param attemptsByServer the attempts by server id; ids start at 1
 * @param violations the first violations as text
 */
public record Result(
        String scenario,
        String arm,
        long seed,
        double goal,
        double service,
        double worstWindow,
        double worstClass,
        List<ClassResult> classes,
        RunStatistics.Sums sums,
        @JsonProperty("broken") Map<String, Integer> violationCounts,
        String digest,
        @JsonProperty("wallS") double wallSeconds,
        List<RunStatistics.Second> seconds,
        List<FaultInterval> faults,
        long[] attemptsByServer,
        @JsonProperty("breaches") List<String> violations) {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int MAX_VIOLATIONS = 5;

    /** The service (0 to 1) of one request class, and percentiles of its latency in milliseconds. */
    public record ClassResult(String name, double service, double p50, double p90, double p99, double p999) {}

    /** The kind of a fault, and its start and end in seconds from the start of the run. */
    public record FaultInterval(String kind, double from, double to) {}

    /** Returns the result of a run. */
    public static Result of(Scenario scenario, RunResult run) {
        RunStatistics statistics = run.statistics();
        List<ClassResult> classes = classResults(scenario, run);
        List<RunStatistics.Second> seconds = new ArrayList<>();
        for (int i = 0; i < statistics.seconds() - 1; i++) {
            seconds.add(statistics.second(i));
        }
        Map<String, Integer> violationCounts = new TreeMap<>();
        run.violationCounts().forEach((rule, count) -> violationCounts.put(rule.name(), count));
        return new Result(
                run.scenario(),
                run.arm(),
                run.seed(),
                statistics.goal(),
                statistics.service(),
                statistics.worstWindow(),
                statistics.worstClass(),
                classes,
                statistics.sums(),
                violationCounts,
                Long.toHexString(run.digest()),
                run.wallNanos() / NANOS_PER_SECOND,
                seconds,
                faultIntervals(run),
                run.attemptsByServer(),
                run.violations().stream()
                        .limit(MAX_VIOLATIONS)
                        .map(Object::toString)
                        .toList());
    }

    private static List<ClassResult> classResults(Scenario scenario, RunResult run) {
        List<ClassResult> results = new ArrayList<>();
        for (int i = 0; i < scenario.classes().size(); i++) {
            Histogram latency = run.statistics().latency(i);
            results.add(new ClassResult(
                    scenario.classes().get(i).name(),
                    run.statistics().service(i),
                    percentileMillis(latency, 50),
                    percentileMillis(latency, 90),
                    percentileMillis(latency, 99),
                    percentileMillis(latency, 99.9)));
        }
        return results;
    }

    private static double percentileMillis(Histogram latency, double percentile) {
        return latency.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    private static List<FaultInterval> faultIntervals(RunResult run) {
        List<FaultInterval> intervals = new ArrayList<>();
        for (Fault each : run.faults()) {
            String kind = Table.nameOf(each.kind());
            double from = each.start() / NANOS_PER_SECOND;
            double to = (each.start() + each.length()) / NANOS_PER_SECOND;
            intervals.add(new FaultInterval(kind, from, to));
        }
        return intervals;
    }

    /** Returns scenario, arm and seed, which identify a result in the results file. */
    public String key() {
        return scenario + "/" + arm + "/" + seed;
    }
}
