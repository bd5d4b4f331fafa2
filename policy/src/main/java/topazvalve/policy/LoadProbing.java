package topazvalve.policy;

import java.util.List;
import java.util.function.ObjLongConsumer;

/** Asks the next endpoints for their load before a send, where health checks are cheap and report it. */
final class LoadProbing {
    static final int CANDIDATES = 5; // so many that they are seldom all busy
    private static final double MAX_COST = 0.01; // fraction of the total priority weight
    private static final int TIMEOUT_DIVISOR = 20; // of the objective; health checks pass an endpoint's queue
    private static final double MAX_LOAD_FRACTION = 0.6; // of the objective; the rest is for variation
    private static final double AVERAGE_WEIGHT = 0.05;

    private final PolicyContext context;
    private final EndpointRegistry registry;
    private double meanLoad; // of all reports, with exponential decay
    private ObjLongConsumer<RequestState> listener; // continues the admission of a probed request
    private double timePerRequest; // of a response, for each request that the endpoint had in flight

    LoadProbing(PolicyContext context, EndpointRegistry registry) {
        this.context = context;
        this.registry = registry;
    }

    /** Whether probes are cheap and useful: with no more sidecars than endpoints own counts show enough. */
    boolean isEnabled() {
        Settings settings = context.settings();
        boolean reported = settings.loadReportFields().contains("rif");
        boolean cheap = settings.costs().healthCheck() * CANDIDATES <= MAX_COST;
        boolean useful = reported && settings.instanceCount() > registry.ready().size();
        return useful && cheap && settings.capabilities().healthChecks();
    }

    boolean start(long now, RequestState request, List<EndpointState> endpoints, ObjLongConsumer<RequestState> next) {
        request.probed = true;
        this.listener = next;
        request.candidates = endpoints;
        for (EndpointState endpoint : endpoints) {
            endpoint.reportedLoad = Double.MAX_VALUE;
            endpoint.awaitingReport.add(request);
            context.actions().sendHealthCheck(endpoint.info.id());
        }
        request.outstandingProbes = endpoints.size();
        long timeoutAt = now + request.objective / TIMEOUT_DIVISOR;
        context.timers().schedule(timeoutAt, at -> answered(at, request, request.outstandingProbes));
        return request.outstandingProbes > 0;
    }

    void healthCheckCompleted(long now, EndpointState endpoint, Outcome outcome, float[] report) {
        int field = context.settings().loadReportFields().indexOf("rif");
        if (outcome == Outcome.OK && report.length > field && field >= 0) {
            endpoint.reportedLoad = report[field];
            meanLoad += AVERAGE_WEIGHT * (endpoint.reportedLoad - meanLoad);
        }
        List<RequestState> awaiting = List.copyOf(endpoint.awaitingReport);
        endpoint.awaitingReport.clear();
        awaiting.forEach(request -> answered(now, request, 1));
    }

    private void answered(long now, RequestState request, int answers) {
        if (request.outstandingProbes > 0) {
            request.outstandingProbes -= answers;
            if (request.outstandingProbes == 0 && !request.closed) {
                evaluate(request);
                listener.accept(request, now);
            }
        }
    }

    private void evaluate(RequestState request) {
        double least = Double.MAX_VALUE;
        for (EndpointState endpoint : request.candidates) {
            least = Math.min(least, endpoint.reportedLoad);
        }
        double objectiveLoad = MAX_LOAD_FRACTION * request.objective / Math.max(1, timePerRequest) - 1;
        request.candidates = least == Double.MAX_VALUE ? List.of() : request.candidates;
        request.allOverloaded = !request.candidates.isEmpty() && least > Math.max(meanLoad, objectiveLoad);
        request.maxLoad = least <= meanLoad ? meanLoad : objectiveLoad;
    }

    void responseReceived(AttemptState attempt, long responseTime) {
        if (attempt.loadWhenSent < Double.MAX_VALUE) {
            double time = responseTime / (attempt.loadWhenSent + 1);
            timePerRequest += (timePerRequest == 0 ? 1 : AVERAGE_WEIGHT) * (time - timePerRequest);
        }
    }

    boolean isOverloaded(EndpointState endpoint, RequestState request) {
        List<EndpointState> candidates = request.candidates;
        return !candidates.isEmpty() && (endpoint.reportedLoad > request.maxLoad || !candidates.contains(endpoint));
    }
}
