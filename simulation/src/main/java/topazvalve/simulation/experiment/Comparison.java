package topazvalve.simulation.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * Two arms, seed by seed: the same seed gives both the same clients and faults, so what differs is theirs.
 *
 * @param pairs seeds that both have been played with
 * @param mean of the differences, the first arm's less the second's
 * @param half half the width of the 95% interval (Student's t); NaN for fewer than two pairs
 */
public record Comparison(
        String scenario, String figure, int pairs, double first, double second, double mean, double half) {
    private static final double CONFIDENCE = 0.975;
    private static final Map<String, ToDoubleFunction<Result>> FIGURES = figures();

    private static Map<String, ToDoubleFunction<Result>> figures() {
        Map<String, ToDoubleFunction<Result>> figures = new java.util.LinkedHashMap<>();
        figures.put("goal", Result::goal);
        figures.put("service", Result::service);
        figures.put("worst 10 s", Result::worstWindow);
        figures.put("worst class", Result::worstClass);
        figures.put(
                "attempts per request",
                each -> (double) each.sums().attempts()
                        / Math.max(1, each.sums().asked()));
        figures.put("runs with a broken rule", each -> each.broken().isEmpty() ? 0 : 1);
        return figures;
    }

    /** Whether the interval leaves out 0. */
    public boolean differs() {
        return pairs >= 2 && Math.abs(mean) > half;
    }

    /** All figures on all scenarios that both arms have been played on. */
    public static List<Comparison> of(List<Result> first, List<Result> second) {
        Set<String> scenarios =
                new LinkedHashSet<>(first.stream().map(Result::scenario).toList());
        List<Comparison> all = new ArrayList<>();
        for (String scenario : scenarios) {
            Map<Long, Result> others = new HashMap<>();
            second.stream()
                    .filter(each -> each.scenario().equals(scenario))
                    .forEach(each -> others.put(each.seed(), each));
            List<Result> ours = first.stream()
                    .filter(each -> each.scenario().equals(scenario) && others.containsKey(each.seed()))
                    .toList();
            if (!ours.isEmpty()) {
                FIGURES.forEach((name, figure) -> all.add(of(scenario, name, figure, ours, others)));
            }
        }
        return all;
    }

    private static Comparison of(
            String scenario,
            String name,
            ToDoubleFunction<Result> figure,
            List<Result> ours,
            Map<Long, Result> others) {
        SummaryStatistics one = new SummaryStatistics();
        SummaryStatistics two = new SummaryStatistics();
        SummaryStatistics difference = new SummaryStatistics();
        for (Result each : ours) {
            double a = figure.applyAsDouble(each);
            double b = figure.applyAsDouble(others.get(each.seed()));
            one.addValue(a);
            two.addValue(b);
            difference.addValue(a - b);
        }
        int pairs = (int) difference.getN();
        double half = pairs < 2
                ? Double.NaN
                : new TDistribution(pairs - 1).inverseCumulativeProbability(CONFIDENCE)
                        * difference.getStandardDeviation()
                        / Math.sqrt(pairs);
        return new Comparison(scenario, name, pairs, one.getMean(), two.getMean(), difference.getMean(), half);
    }
}
