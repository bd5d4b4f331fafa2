package topazvalve.policy;

import java.util.ArrayDeque;
import java.util.List;

/**
 * Limits the attempts in flight: per endpoint by additive increase and multiplicative decrease, in total by Little's
 * law. It also paces requests to endpoints in slow start, and decides how much load to shed.
 */
final class ConcurrencyLimiter {
    /** Fraction of the objective. A response that takes longer leaves no time for a retry and its delays. */
    private static final double SLOW_RESPONSE_FRACTION = 0.4;

    /** Fraction of the objective that a good response takes, well below that of a slow one. */
    private static final double GOOD_RESPONSE_FRACTION = 0.3;

    /** Fraction of the total limit that all classes may use; the rest is for classes that no other outranks. */
    private static final double UNRESERVED_FRACTION = 0.6;

    /** A class outranks another if its priority is more than this many times as high. */
    private static final double PRIORITY_TOLERANCE = 1.5;

    /** Nothing is shed while four in five attempts are in time. */
    private static final double SHED_TOLERANCE = 1.25;

    /** How many times as likely a client's retry is shed as a first request. */
    private static final int CLIENT_RETRY_SHED_FACTOR = 3;

    /** Window of the sums behind the total limit, in multiples of the shortest objective. */
    private static final int RESPONSE_WINDOW_OBJECTIVES = 2;

    /** Window of the sums behind load shedding; it is longer, which keeps the shed fraction steadier. */
    private static final int SHED_WINDOW_OBJECTIVES = 8;

    private static final double MIN_CONCURRENCY_LIMIT = 0.1;
    private static final double LIMIT_DECREASE_FACTOR = 0.8;
    private static final double MAX_LIMIT_INCREASE = 0.2; // of the limit, per response

    /** An endpoint's limit grows only while at least this part of it is used. */
    private static final int MIN_USED_LIMIT_DIVISOR = 2;

    /** A warming endpoint gets a request only if it has at most this part of its limit in flight, plus one. */
    private static final int WARMING_LIMIT_DIVISOR = 2;

    /** The token bucket of a warming endpoint holds at most this part of the work of one overload window. */
    private static final int MAX_TOKENS_WINDOW_DIVISOR = 2;

    private final PolicyContext context;
    private final EndpointRegistry registry;
    private final ResponseTimeEstimator estimator;
    private final ArrayDeque<AttemptState> started = new ArrayDeque<>();
    private int totalInFlight; // without attempts that have taken longer than the shortest objective
    private final DecayingSum requestedWork = new DecayingSum(0); // of all requests that arrived, in nanoseconds
    private final DecayingSum requestedTime = new DecayingSum(0); // what they take if all responses are good
    private final DecayingSum relativeTimes = new DecayingSum(0); // response times in multiples of the good one
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
        List.of(requestedTime, relativeTimes, responses)
                .forEach(sum -> sum.setWindow(now, RESPONSE_WINDOW_OBJECTIVES * objective));
        List.of(attempts, attemptsInTime).forEach(sum -> sum.setWindow(now, SHED_WINDOW_OBJECTIVES * objective));
    }

    void requestArrived(long now, RequestState request) {
        requestedTime.add(now, GOOD_RESPONSE_FRACTION * request.objective);
        requestedWork.add(now, work(request));
    }

    void requestSent(EndpointState endpoint, RequestState request) {
        endpoint.warmingTokens -= work(request);
    }

    /** Draws at random whether to shed this request. */
    boolean drawShedding(long now, RequestState request) {
        int factor = request.request.clientRetry() ? CLIENT_RETRY_SHED_FACTOR : 1;
        return context.random().nextDouble() < factor * shedFraction(now);
    }

    /** Returns the fraction of first requests to shed, from the fraction of recent attempts that were in time. */
    double shedFraction(long now) {
        double served = Math.min(1, SHED_TOLERANCE * (attemptsInTime.value(now) + 1) / (attempts.value(now) + 1));
        return 1 - served * served * served; // cubed to shed more than the excess, so that a backlog drains
    }

    /**
     * Returns whether the total in-flight count has reached its limit for this request. Before that, attempts that have
     * taken longer than the shortest objective are no longer counted.
     *
     * <p>The limit is the number that would be in flight if all recent requests got good responses (Little's law), plus
     * its square root as room for random variation, plus one. It shrinks as responses take longer. With many sidecars
     * that have one or two requests in flight at each of many endpoints, the limits per endpoint never bind.
     */
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

    /** Returns whether no class has a far higher priority than the request's own. */
    boolean isNotOutranked(RequestState request) {
        double own = PRIORITY_TOLERANCE * priority(request.request.requestClass());
        boolean outranked = false;
        for (int i = 0; i < context.settings().requestClasses().size(); i++) {
            outranked |= priority(i) > own;
        }
        return !outranked;
    }

    /** Returns the priority weight per unit of work; a weight per request is divided by its mean response time. */
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
        boolean inTime = now <= request.objectiveAt;
        attempts.add(now, outcome.isAbandoned() && inTime ? 0 : 1);
        attemptsInTime.add(now, outcome == Outcome.OK && inTime ? 1 : 0);
        if (!attempt.started) {
            return;
        }
        long responseTime = now - attempt.startedAt;
        EndpointState endpoint = attempt.endpoint;
        if (outcome == Outcome.OK) {
            responses.add(now, 1);
            relativeTimes.add(now, responseTime / (GOOD_RESPONSE_FRACTION * request.objective));
        }
        // What a request of mean cost would have taken.
        double normalizedTime = responseTime * estimator.mean(request.request.requestClass()) / request.expectedTime;
        if (outcome.isRejection() || normalizedTime > SLOW_RESPONSE_FRACTION * request.objective) {
            if (attempt.sentAt >= endpoint.limitReducedAt) {
                endpoint.concurrencyLimit =
                        Math.max(MIN_CONCURRENCY_LIMIT, endpoint.concurrencyLimit * LIMIT_DECREASE_FACTOR);
                endpoint.limitReducedAt = now;
            }
        } else if (outcome == Outcome.OK
                && attempt.inFlightBefore + 1 >= endpoint.concurrencyLimit / MIN_USED_LIMIT_DIVISOR) {
            endpoint.concurrencyLimit +=
                    Math.min(MAX_LIMIT_INCREASE * endpoint.concurrencyLimit, 1 / endpoint.concurrencyLimit);
        }
    }

    /** Returns the work of a request in nanoseconds: its cost hint or, without one, its expected response time. */
    private static double work(RequestState request) {
        return request.request.costHintNanos() > 0 ? request.request.costHintNanos() : request.expectedTime;
    }

    /**
     * Returns whether an endpoint may take a request as far as slow start is concerned. The token bucket of a warming
     * endpoint is refilled first, at its capacity's fraction of the work that this sidecar's clients request.
     */
    boolean refillTokensAndAdmit(long now, EndpointState endpoint, RequestState request) {
        if (now >= endpoint.warmAt) {
            return true;
        }
        double rate = requestedWorkPerCapacity(now) * capacity(now, endpoint);
        if (!endpoint.warmingStarted) {
            endpoint.warmingStarted = true;
            // A random debt spreads the first requests of many sidecars, which would otherwise arrive together.
            boolean allWarming = registry.ready().stream().allMatch(other -> now < other.warmAt);
            endpoint.warmingTokens = allWarming ? 0 : -context.random().nextDouble() * work(request);
        }
        double maxTokens = rate * context.settings().limits().overloadWindowNanos() / MAX_TOKENS_WINDOW_DIVISOR;
        endpoint.warmingTokens = Math.min(maxTokens, endpoint.warmingTokens + rate * (now - endpoint.tokensAddedAt));
        endpoint.tokensAddedAt = now;
        return endpoint.warmingTokens >= 0
                && endpoint.inFlightAndStreams() <= 1 + endpoint.concurrencyLimit / WARMING_LIMIT_DIVISOR;
    }

    /** Returns the endpoint's capacity as a fraction of that of a warm one. */
    private double capacity(long now, EndpointState endpoint) {
        Limits limits = context.settings().limits();
        double progress = 1 - (endpoint.warmAt - now) / (double) limits.slowStartNanos();
        double cold = limits.coldCapacityFraction();
        return now >= endpoint.warmAt ? 1 : cold + (1 - cold) * Math.max(0, Math.min(1, progress));
    }

    private double requestedWorkPerCapacity(long now) {
        double capacity = registry.ready().stream()
                .mapToDouble(each -> capacity(now, each))
                .sum();
        return capacity == 0 ? 0 : requestedWork.rate(now) / capacity;
    }
}
