package topazvalve.policy;

import java.util.List;
import java.util.function.ObjLongConsumer;

/** Probes the load of the next endpoints before a request is sent, if health checks are cheap and report it. */
final class LoadProbing {
    /** How many endpoints are probed for a request; with so many, they are seldom all busy. */
    static final int CANDIDATES = 5;

    /** The name of the field in a load report that holds the endpoint's requests in flight. */
    private static final String LOAD_FIELD = "rif";

    /** The maximum cost of one request's probes, as a fraction of the total priority weight. */
    private static final double MAX_COST = 0.01;

    /** Part of the objective that probes may take; it is short, since health checks bypass the endpoint's queue. */
    private static final int TIMEOUT_DIVISOR = 20;

    /** Fraction of the objective that a response may take by the reported load; the rest allows for variation. */
    private static final double MAX_LOAD_FRACTION = 0.6;

    /** The weight of a new value in a moving average. */
    private static final double AVERAGE_WEIGHT = 0.05;

    private final PolicyContext context;
    private final EndpointRegistry registry;
    private double meanLoad; // moving average over all reports
    private ObjLongConsumer<RequestState> listener; // continues the admission of a probed request
    private double timePerRequest; // moving average of the response time per request in flight at the endpoint

    LoadProbing(PolicyContext context, EndpointRegistry registry) {
        this.context = context;
        this.registry = registry;
    }

    /**
     * Returns whether probes are allowed, cheap and useful. With no more sidecars than endpoints they are not useful:
     * each sidecar's own in-flight counts then show enough of the load.
     */
    boolean isEnabled() {
        Settings settings = context.settings();
        boolean reported = settings.loadReportFields().contains(LOAD_FIELD);
        boolean cheap = settings.costs().healthCheck() * CANDIDATES <= MAX_COST;
        boolean useful = reported && settings.instanceCount() > registry.ready().size();
        return useful && cheap && settings.capabilities().healthChecks();
    }

    /**
     * Sends the probes for a request; {@code onCompleted} is called when all have been answered or have timed out.
     *
     * @return whether any probe was sent
     */
    boolean start(
            long now, RequestState request, List<EndpointState> endpoints, ObjLongConsumer<RequestState> onCompleted) {
        request.probed = true;
        this.listener = onCompleted;
        request.candidates = endpoints;
        for (EndpointState endpoint : endpoints) {
            endpoint.reportedLoad = Double.MAX_VALUE;
            endpoint.awaitingLoadReport.add(request);
            context.actions().sendHealthCheck(endpoint.info.id());
        }
        request.outstandingProbes = endpoints.size();
        long timeoutAt = now + request.objective / TIMEOUT_DIVISOR;
        context.timers().schedule(timeoutAt, at -> probesCompleted(at, request, request.outstandingProbes));
        return request.outstandingProbes > 0;
    }

    void healthCheckCompleted(long now, EndpointState endpoint, Outcome outcome, float[] report) {
        int field = context.settings().loadReportFields().indexOf(LOAD_FIELD);
        if (outcome == Outcome.OK && report.length > field && field >= 0) {
            endpoint.reportedLoad = report[field];
            meanLoad += AVERAGE_WEIGHT * (endpoint.reportedLoad - meanLoad);
        }
        List<RequestState> awaiting = List.copyOf(endpoint.awaitingLoadReport);
        endpoint.awaitingLoadReport.clear();
        awaiting.forEach(request -> probesCompleted(now, request, 1));
    }

    private void probesCompleted(long now, RequestState request, int count) {
        if (request.outstandingProbes > 0) {
            request.outstandingProbes -= count;
            if (request.outstandingProbes == 0 && !request.closed) {
                evaluateReports(request);
                listener.accept(request, now);
            }
        }
    }

    /** Sets the request's maximum load from the reports; without any report, all endpoints are candidates again. */
    private void evaluateReports(RequestState request) {
        double leastLoad = Double.MAX_VALUE;
        for (EndpointState endpoint : request.candidates) {
            leastLoad = Math.min(leastLoad, endpoint.reportedLoad);
        }
        double objectiveLoad = MAX_LOAD_FRACTION * request.objective / Math.max(1, timePerRequest) - 1;
        request.candidates = leastLoad == Double.MAX_VALUE ? List.of() : request.candidates;
        boolean overloaded = leastLoad > Math.max(meanLoad, objectiveLoad);
        request.allCandidatesOverloaded = !request.candidates.isEmpty() && overloaded;
        request.maxLoad = leastLoad <= meanLoad ? meanLoad : objectiveLoad;
    }

    void responseReceived(AttemptState attempt, long responseTime) {
        if (attempt.loadWhenSent < Double.MAX_VALUE) {
            double time = responseTime / (attempt.loadWhenSent + 1);
            timePerRequest += (timePerRequest == 0 ? 1 : AVERAGE_WEIGHT) * (time - timePerRequest);
        }
    }

    /** Returns whether the request's probes exclude the endpoint: it was not probed, or its load is too high. */
    boolean isExcluded(EndpointState endpoint, RequestState request) {
        List<EndpointState> candidates = request.candidates;
        return !candidates.isEmpty() && (endpoint.reportedLoad > request.maxLoad || !candidates.contains(endpoint));
    }
}
