package topazvalve.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Expected response times of each class and machine kind, and the time that clients spent before a request. */
final class ResponseTimeEstimator {
    /** Mean response time of a class in nanoseconds, and its growth with the hinted cost by least squares. */
    private static final class ClassEstimate {
        private static final double MIN_WEIGHT = 0.02; // about the last 50 responses count
        private static final int MAX_VOTES = 100; // a burst of client retries does not outvote first requests at once
        private double mean;
        private long responses;
        private double meanCost;
        private double meanSquaredCost;
        private double meanProduct;
        private long commonTimeLeft;
        private int votes; // majority vote: the most common time left marks a client's first request

        ClassEstimate(double initialMean) {
            mean = initialMean;
        }

        void add(double responseTime, double cost) {
            double time = Math.min(responseTime, 3 * expected(cost)); // one slow endpoint must not become the norm
            double weight = Math.max(MIN_WEIGHT, 1.0 / ++responses);
            mean += weight * (time - mean);
            meanCost += weight * (cost - meanCost);
            meanSquaredCost += weight * (cost * cost - meanSquaredCost);
            meanProduct += weight * (time * cost - meanProduct);
        }

        double expected(double cost) {
            double variance = meanSquaredCost - meanCost * meanCost;
            double slope = Math.max(0, (meanProduct - mean * meanCost) / variance);
            return cost <= 0 || variance <= 0 ? mean : Math.max(mean / 4, mean + slope * (cost - meanCost));
        }

        /** Counts this request's vote; true if its time left now marks a client's first request. */
        boolean countVote(long timeLeft, long tolerance) {
            boolean common = Math.abs(timeLeft - commonTimeLeft) <= tolerance;
            votes = common ? Math.min(votes + 1, MAX_VOTES) : votes - 1;
            boolean replaced = votes < 0;
            commonTimeLeft = replaced ? timeLeft : commonTimeLeft;
            votes = Math.max(votes, 0);
            return common || replaced;
        }
    }

    private static final class KindEstimate {
        private double slowdown = 1;
        private double responses = 2; // two at the usual pace are assumed

        void add(double ratio) {
            responses++;
            slowdown += Math.max(0.03, 1 / responses) * (Math.min(ratio, 4) - slowdown); // one outlier counts 4 at most
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
            classes.add(new ClassEstimate(settings.get(i).latencyObjectiveNanos() / 10.0)); // a first guess
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

    /** Learns from the time left what first requests have, and returns how long the client has waited before. */
    long learnElapsedBefore(Request request) {
        long tolerance = 2 * context.settings().clockResolutionNanos();
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
