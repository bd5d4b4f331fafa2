package topazvalve.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Estimates the response times of each class and machine kind, and the time that clients spent before a request. */
final class ResponseTimeEstimator {
    /** The first guess of a class's mean response time is this part of its objective. */
    private static final double INITIAL_MEAN_DIVISOR = 10.0;

    /** How far the times left of first requests may differ, in multiples of the clock resolution. */
    private static final int TIME_LEFT_TOLERANCE = 2;

    /** The mean response time of a class in nanoseconds, and its growth with the cost hint by least squares. */
    private static final class ClassEstimate {
        private static final double MIN_WEIGHT = 0.02; // about the last 50 responses count
        private static final int MAX_TIME_FACTOR = 3; // times expected: one slow endpoint must not become the norm
        private static final int MIN_EXPECTED_DIVISOR = 4; // of the mean, for a request of low cost
        private static final int MAX_VOTES = 100; // a burst of client retries does not outvote first requests at once

        private double mean;
        private long responses;
        private double meanCost;
        private double meanSquaredCost;
        private double meanProduct; // of response time and cost
        private long commonTimeLeft; // the most common time left, which marks a client's first request
        private int votes; // for the common time left, by the majority vote algorithm

        ClassEstimate(double initialMean) {
            mean = initialMean;
        }

        void add(double responseTime, double cost) {
            double time = Math.min(responseTime, MAX_TIME_FACTOR * expected(cost));
            double weight = Math.max(MIN_WEIGHT, 1.0 / ++responses);
            mean += weight * (time - mean);
            meanCost += weight * (cost - meanCost);
            meanSquaredCost += weight * (cost * cost - meanSquaredCost);
            meanProduct += weight * (time * cost - meanProduct);
        }

        double expected(double cost) {
            double variance = meanSquaredCost - meanCost * meanCost;
            double slope = Math.max(0, (meanProduct - mean * meanCost) / variance);
            return cost <= 0 || variance <= 0
                    ? mean
                    : Math.max(mean / MIN_EXPECTED_DIVISOR, mean + slope * (cost - meanCost));
        }

        /** Counts the vote of a request; returns whether its time left then marks a client's first request. */
        boolean countVote(long timeLeft, long tolerance) {
            boolean common = Math.abs(timeLeft - commonTimeLeft) <= tolerance;
            votes = common ? Math.min(votes + 1, MAX_VOTES) : votes - 1;
            boolean replaced = votes < 0;
            commonTimeLeft = replaced ? timeLeft : commonTimeLeft;
            votes = Math.max(votes, 0);
            return common || replaced;
        }
    }

    /** The mean slowdown of a machine kind: response times in multiples of the expected ones. */
    private static final class KindEstimate {
        private static final double MIN_WEIGHT = 0.03; // about the last 33 responses count
        private static final int MAX_RATIO = 4; // bounds the effect of one outlier
        private static final int ASSUMED_RESPONSES = 2; // at the expected time

        private double slowdown = 1;
        private double responses = ASSUMED_RESPONSES;

        void add(double ratio) {
            responses++;
            slowdown += Math.max(MIN_WEIGHT, 1 / responses) * (Math.min(ratio, MAX_RATIO) - slowdown);
        }
    }

    private final PolicyContext context;
    private final List<ClassEstimate> classes = new ArrayList<>();
    private final Map<Integer, KindEstimate> kinds = new TreeMap<>();
    private double fastestKind = 1;
    private long shortestObjective;

    ResponseTimeEstimator(PolicyContext context) {
        this.context = context;
        settingsChanged();
    }

    void settingsChanged() {
        List<RequestClass> settings = context.settings().requestClasses();
        for (int i = classes.size(); i < settings.size(); i++) {
            classes.add(new ClassEstimate(settings.get(i).latencyObjectiveNanos() / INITIAL_MEAN_DIVISOR));
        }
        shortestObjective = Long.MAX_VALUE;
        settings.forEach(each -> shortestObjective = Math.min(shortestObjective, each.latencyObjectiveNanos()));
    }

    long shortestObjective() {
        return shortestObjective;
    }

    double mean(int requestClass) {
        return classes.get(requestClass).mean;
    }

    double expected(Request request) {
        return classes.get(request.requestClass()).expected(request.costHintNanos());
    }

    /**
     * Returns how long the client has waited on its own earlier attempts; 0 if this is a first request. The time left
     * of this request also counts for what marks a first request.
     */
    long updateAndGetElapsedBefore(Request request) {
        long tolerance = TIME_LEFT_TOLERANCE * context.settings().clockResolutionNanos();
        boolean first = classes.get(request.requestClass()).countVote(request.timeLeftNanos(), tolerance);
        RequestClass settings = context.settings().requestClasses().get(request.requestClass());
        return first ? 0 : Math.max(0, settings.deadlineNanos() - request.timeLeftNanos());
    }

    double kindSlowdown(EndpointState endpoint) {
        return kind(endpoint).slowdown;
    }

    double fastestKind() {
        return fastestKind;
    }

    void responseReceived(EndpointState endpoint, RequestState request, long responseTime) {
        kind(endpoint).add(responseTime / request.expectedTime);
        fastestKind = Double.MAX_VALUE;
        kinds.values().forEach(kind -> fastestKind = Math.min(fastestKind, kind.slowdown));
        classes.get(request.request.requestClass()).add(responseTime, request.request.costHintNanos());
    }

    private KindEstimate kind(EndpointState endpoint) {
        return kinds.computeIfAbsent(endpoint.info.machineKind(), id -> new KindEstimate());
    }
}
