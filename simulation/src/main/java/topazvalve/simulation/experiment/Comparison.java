package topazvalve.simulation.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * The comparison of two arms by one metric on one scenario, paired by seed. The same seed gives both arms the same
 * clients and faults, so that the differences are due to the arms.
 *
 * @param metric the name of the metric
 * @param pairs the number of seeds with a result of both arms
 * @param first the mean of the first arm
 * @param second the mean of the second arm
 * @param mean the mean of the differences, first arm minus second arm
 * @param halfWidth half the width of the 95% confidence interval (Student's t); NaN for fewer than two pairs
 */
public record Comparison(
        String scenario, String metric, int pairs, double first, double second, double mean, double halfWidth) {
    /** The quantile at the upper bound of a two-sided 95% interval. */
    private static final double UPPER_QUANTILE = 0.975;

    private static final Map<String, ToDoubleFunction<Result>> METRICS = metrics();

    private static Map<String, ToDoubleFunction<Result>> metrics() {
        Map<String, ToDoubleFunction<Result>> metrics = new LinkedHashMap<>();
        metrics.put("goal", Result::goal);
        metrics.put("service", Result::service);
        metrics.put("worst 10 s", Result::worstWindow);
        metrics.put("worst class", Result::worstClass);
        metrics.put(
                "attempts per request",
                each -> (double) each.sums().attempts()
                        / Math.max(1, each.sums().sent()));
        metrics.put("runs with violations", each -> each.violationCounts().isEmpty() ? 0 : 1);
        return metrics;
    }

    /** Returns whether the confidence interval excludes 0. */
    public boolean differs() {
        return pairs >= 2 && Math.abs(mean) > halfWidth;
    }

    /** Compares two arms by all metrics on all scenarios for which both have results. */
    public static List<Comparison> of(List<Result> first, List<Result> second) {
        Set<String> scenarios =
                new LinkedHashSet<>(first.stream().map(Result::scenario).toList());
        List<Comparison> all = new ArrayList<>();
        for (String scenario : scenarios) {
            Map<Long, Result> secondBySeed = new HashMap<>();
            second.stream()
                    .filter(each -> each.scenario().equals(scenario))
                    .forEach(each -> secondBySeed.put(each.seed(), each));
            List<Result> paired = first.stream()
                    .filter(each -> each.scenario().equals(scenario) && secondBySeed.containsKey(each.seed()))
                    .toList();
            if (!paired.isEmpty()) {
                METRICS.forEach((name, metric) -> all.add(of(scenario, name, metric, paired, secondBySeed)));
            }
        }
        return all;
    }

    private static Comparison of(
            String scenario,
            String name,
            ToDoubleFunction<Result> metric,
            List<Result> paired,
            Map<Long, Result> secondBySeed) {
        SummaryStatistics firstArm = new SummaryStatistics();
        SummaryStatistics secondArm = new SummaryStatistics();
        SummaryStatistics difference = new SummaryStatistics();
        for (Result each : paired) {
            double firstValue = metric.applyAsDouble(each);
            double secondValue = metric.applyAsDouble(secondBySeed.get(each.seed()));
            firstArm.addValue(firstValue);
            secondArm.addValue(secondValue);
            difference.addValue(firstValue - secondValue);
        }
        int pairs = (int) difference.getN();
        double halfWidth = halfWidth(difference);
        return new Comparison(
                scenario, name, pairs, firstArm.getMean(), secondArm.getMean(), difference.getMean(), halfWidth);
    }

    private static double halfWidth(SummaryStatistics values) {
        long count = values.getN();
        if (count < 2) {
            return Double.NaN;
        }
        double quantile = new TDistribution(count - 1).inverseCumulativeProbability(UPPER_QUANTILE);
        return quantile * values.getStandardDeviation() / Math.sqrt(count);
    }
}
