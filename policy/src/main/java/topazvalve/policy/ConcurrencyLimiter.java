package topazvalve.policy;

import java.util.ArrayDeque;
import java.util.List;

/** Limits attempts in flight, per endpoint (AIMD) and in total by Little's law; slow start; load shedding. */
final class ConcurrencyLimiter {
    private static final double LATE_FRACTION = 0.4; // of the objective: leaves no time for a retry and its delays
    private static final double GOOD_FRACTION = 0.3; // of the objective: a response well before it is late
    private static final double UNRESERVED_FRACTION = 0.6; // of the total limit: what every class may use
    private static final double PRIORITY_TOLERANCE = 1.5;
    private static final double SHED_TOLERANCE = 1.25; // no shedding while four in five are in time
    private static final int CLIENT_RETRY_FACTOR = 3;

    private final PolicyContext context;
    private final EndpointRegistry registry;
    private final ResponseTimeEstimator estimator;
    private final ArrayDeque<AttemptState> started = new ArrayDeque<>();
    private int totalInFlight; // attempts until they end, or are out for the shortest objective
    private final DecayingSum requestedWork = new DecayingSum(0); // of all requests that arrived
    private final DecayingSum requestedTime = new DecayingSum(0); // good response times of the requests that arrived
    private final DecayingSum relativeTimes = new DecayingSum(0); // response times in multiples of a good one
    private final DecayingSum responses = new DecayingSum(0);
    private final DecayingSum attempts = new DecayingSum(1);
    private final DecayingSum attemptsInTime = new DecayingSum(1);

    ConcurrencyLimiter(PolicyContext context, EndpointRegistry registry, ResponseTimeEstimator estimator) {
        this.context = context;
        this.registry = registry;
        this.estimator = estimator;
        settingsChanged(0);
    }

    void settingsChanged(long now) {
        requestedWork.setWindow(now, context.settings().limits().overloadWindowNanos());
        double objective = estimator.shortestObjective();
        List.of(requestedTime, relativeTimes, responses).forEach(sum -> sum.setWindow(now, 2 * objective));
        List.of(attempts, attemptsInTime).forEach(sum -> sum.setWindow(now, 8 * objective)); // steadier
    }

    void requestArrived(long now, RequestState request) {
        requestedTime.add(now, GOOD_FRACTION * request.objective);
        requestedWork.add(now, work(request));
    }

    void requestSent(EndpointState endpoint, RequestState request) {
        endpoint.warmingTokens -= work(request);
    }

    /** Draws at random whether to shed this request. */
    boolean drawShedding(long now, RequestState request) {
        int factor = request.request.clientRetry() ? CLIENT_RETRY_FACTOR : 1;
        return context.random().nextDouble() < factor * shedFraction(now);
    }

    double shedFraction(long now) {
        double served = Math.min(1, SHED_TOLERANCE * (attemptsInTime.value(now) + 1) / (attempts.value(now) + 1));
        return 1 - served * served * served; // cubed, so that a backlog drains
    }

    /** Takes attempts that are out for the shortest objective off the total, then compares it with the limit. */
    boolean releaseOverdueAndCheckFull(long now, RequestState request) {
        long oldestCounted = now - estimator.shortestObjective();
        while (!started.isEmpty() && (started.peek().settled || started.peek().startedAt < oldestCounted)) {
            release(started.poll());
        }
        double slowdown = (relativeTimes.value(now) + 1) / (responses.value(now) + 1);
        double goodInFlight = requestedTime.rate(now) / Math.max(1, slowdown);
        double limit = 1 + goodInFlight + Math.sqrt(goodInFlight);
        return totalInFlight >= limit * (isNotOutranked(request) ? 1 : UNRESERVED_FRACTION);
    }

    /** Whether no class has a far higher priority weight for the time that it takes. */
    boolean isNotOutranked(RequestState request) {
        double own = PRIORITY_TOLERANCE * priority(request.request.requestClass());
        boolean outranked = false;
        for (int i = 0; i < context.settings().requestClasses().size(); i++) {
            outranked |= priority(i) > own;
        }
        return !outranked;
    }

    private double priority(int requestClass) {
        double weight = context.settings().requestClasses().get(requestClass).priorityWeight();
        return context.settings().weightByWork() ? weight : weight / estimator.mean(requestClass);
    }

    void attemptStarted(AttemptState attempt) {
        started.add(attempt);
        attempt.countedInTotal = true;
        totalInFlight++;
    }

    private void release(AttemptState attempt) {
        totalInFlight -= attempt.countedInTotal ? 1 : 0;
        attempt.countedInTotal = false;
    }

    void attemptCompleted(long now, AttemptState attempt, Outcome outcome, RequestState request) {
        release(attempt);
        if (outcome == Outcome.CONNECT_FAILED) {
            return;
        }
        boolean early = now <= request.objectiveAt;
        attempts.add(now, outcome.withdrawn() && early ? 0 : 1);
        attemptsInTime.add(now, outcome == Outcome.OK && early ? 1 : 0);
        if (!attempt.started) {
            return;
        }
        long responseTime = now - attempt.startedAt;
        EndpointState endpoint = attempt.endpoint;
        if (outcome == Outcome.OK) {
            responses.add(now, 1);
            relativeTimes.add(now, responseTime / (GOOD_FRACTION * request.objective));
        }
        double normalized = responseTime * estimator.mean(request.request.requestClass()) / request.expectedTime;
        if (outcome == Outcome.REJECTED || normalized > LATE_FRACTION * request.objective) {
            if (attempt.sentAt >= endpoint.limitReducedAt) { // multiplicative decrease
                endpoint.concurrencyLimit = Math.max(0.1, endpoint.concurrencyLimit * 0.8);
                endpoint.limitReducedAt = now;
            }
        } else if (outcome == Outcome.OK && attempt.inFlightBefore + 1 >= endpoint.concurrencyLimit / 2) {
            endpoint.concurrencyLimit += Math.min(0.2 * endpoint.concurrencyLimit, 1 / endpoint.concurrencyLimit);
        }
    }

    private static double work(RequestState request) { // in nanoseconds
        return request.request.costHintNanos() > 0 ? request.request.costHintNanos() : request.expectedTime;
    }

    /** Refills the token bucket of a warming endpoint with this sidecar's fraction of what it can do, then asks it. */
    boolean refillTokensAndAdmit(long now, EndpointState endpoint, RequestState request) {
        if (now >= endpoint.warmAt) {
            return true;
        }
        double rate = requestedWorkPerCapacity(now) * capacity(now, endpoint);
        if (!endpoint.warmingStarted) {
            endpoint.warmingStarted = true; // with a random debt: sidecars' first requests would arrive together
            boolean allWarming = registry.ready().stream().allMatch(other -> now < other.warmAt);
            endpoint.warmingTokens = allWarming ? 0 : -context.random().nextDouble() * work(request);
        }
        double maxTokens = rate * context.settings().limits().overloadWindowNanos() / 2; // half a window of work
        endpoint.warmingTokens = Math.min(maxTokens, endpoint.warmingTokens + rate * (now - endpoint.tokensAddedAt));
        endpoint.tokensAddedAt = now;
        return endpoint.warmingTokens >= 0 && endpoint.inFlightAndStreams() <= 1 + endpoint.concurrencyLimit / 2;
    }

    private double capacity(long now, EndpointState endpoint) {
        Limits limits = context.settings().limits();
        double progress = 1 - (endpoint.warmAt - now) / (double) limits.slowStartNanos();
        double cold = limits.coldCapacityFraction();
        return now >= endpoint.warmAt ? 1 : cold + (1 - cold) * Math.max(0, Math.min(1, progress));
    }

    private double requestedWorkPerCapacity(long now) {
        double capacity =
                registry.ready().stream().mapToDouble(any -> capacity(now, any)).sum();
        return capacity == 0 ? 0 : requestedWork.rate(now) / capacity;
    }
}
