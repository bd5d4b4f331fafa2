package topazvalve.simulation.virtual;

import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.model.RequestGenerator;
import topazvalve.simulation.model.RequestGenerator.GeneratedRequest;
import topazvalve.simulation.model.TrafficPattern;
import topazvalve.simulation.oracle.Oracle.Answer;
import topazvalve.simulation.oracle.Trace;
import topazvalve.simulation.scenario.RequestClassSpec;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.statistics.ClientTry;

/**
 * All clients of a run in virtual time. They send requests independently of earlier responses (open loop) and
 * wait for responses; some disconnect early, and some retry once.
 */
final class VirtualClients {
    /** The part of a request's time that the real sidecar reserves for the delivery of the response. */
    private static final long RESPONSE_RESERVE_NANOS = 10_000_000;
    /** The number of attempts that a request can hold beyond the limit, so that tests of the oracle can exceed it. */
    private static final int SPARE_ATTEMPTS = 2;

    private final VirtualSimulation simulation;
    private final Scenario scenario;
    /** Indexed by request class. */
    private final List<FixedDelayQueue<VirtualRequest>> expiryTimers = new ArrayList<>();

    private final List<RequestGenerator> generators = new ArrayList<>();
    private long lastId;

    /** A client's request to one instance, including its retry. */
    private record ClientRequest(int instance, GeneratedRequest generated, long firstSentAt) {
        int requestClass() {
            return generated.requestClass();
        }
    }

    VirtualClients(VirtualSimulation simulation, long seed, TrafficPattern trafficPattern) {
        this.simulation = simulation;
        this.scenario = simulation.scenario();
        for (RequestClassSpec requestClass : scenario.classes()) {
            long expiresAfter = Math.max(1, requestClass.deadline() - RESPONSE_RESERVE_NANOS);
            expiryTimers.add(new FixedDelayQueue<>(simulation.clock(), expiresAfter, this::expire));
        }
        for (int i = 0; i < scenario.fleet().instances(); i++) {
            generators.add(new RequestGenerator(scenario, seed, i, trafficPattern));
        }
    }

    /** Schedules the first request to each instance. */
    void start() {
        for (int i = 0; i < generators.size(); i++) {
            scheduleNext(i);
        }
    }

    private long now() {
        return simulation.clock().now();
    }

    private void scheduleNext(int instance) {
        RequestGenerator generator = generators.get(instance);
        long at = now() + Math.max(1, generator.nextGapNanos());
        if (at < simulation.endsAt()) {
            simulation.clock().scheduleAt(at, () -> {
                if (generator.arrivesAt(simulation.elapsed())) {
                    sendFirst(new ClientRequest(instance, generator.next(), now()));
                }
                scheduleNext(instance);
            });
        }
    }

    private void sendFirst(ClientRequest clientRequest) {
        simulation.statistics().requestSent(clientRequest.requestClass(), simulation.elapsed());
        send(clientRequest, false);
    }

    private void send(ClientRequest clientRequest, boolean isRetry) {
        VirtualInstance instance = simulation.instances().get(clientRequest.instance());
        if (!instance.running()) {
            // The connection is refused: the client knows that nothing has run, and may retry.
            endUnserved(clientRequest, isRetry, Answer.REJECTED, 0);
            return;
        }
        VirtualRequest request = createRequest(clientRequest, isRetry);
        simulation.oracle().requestSent(request.trace);
        if (clientRequest.generated().disconnectsEarly()) {
            simulation.clock().scheduleAt(request.deadline, () -> disconnect(request));
        } else {
            request.expiryTimer = expiryTimers.get(request.requestClass).add(request);
        }
        instance.requestReceived(request);
    }

    private VirtualRequest createRequest(ClientRequest clientRequest, boolean isRetry) {
        GeneratedRequest generated = clientRequest.generated();
        long id = ++lastId;
        long deadline = now() + generated.clientTimeoutNanos();
        Trace trace = new Trace(
                id,
                clientRequest.instance(),
                scenario.classes().get(generated.requestClass()),
                simulation.sinceStart(now()),
                simulation.sinceStart(deadline));
        return new VirtualRequest(
                id,
                clientRequest.instance(),
                trace,
                generated.requestClass(),
                generated.key(),
                generated.work(),
                deadline,
                isRetry,
                clientRequest.firstSentAt(),
                simulation.attemptLimit() + SPARE_ATTEMPTS,
                (request, answer, retryAfterNanos) ->
                        responseReceived(request, answer, retryAfterNanos, clientRequest));
    }

    /** Cancels the expiry of a request that has a response and no attempts in flight. */
    void cancelExpiry(VirtualRequest request) {
        if (request.expiryTimer != VirtualRequest.NO_TIMER) {
            expiryTimers.get(request.requestClass).remove(request.expiryTimer);
        }
    }

    private void expire(VirtualRequest request) {
        request.expiryTimer = VirtualRequest.NO_TIMER;
        simulation.instances().get(request.instance).requestExpired(request);
        if (!request.finished) {
            long at = request.deadline + scenario.limits().responseSlack() + 1;
            simulation.clock().scheduleAt(at, () -> deadlinePassed(request));
        }
    }

    private void deadlinePassed(VirtualRequest request) {
        if (!request.finished) {
            simulation.oracle().deadlinePassed(request.trace, simulation.elapsed());
            endUnanswered(request);
        }
    }

    private void disconnect(VirtualRequest request) {
        if (!request.finished) {
            simulation.oracle().clientDisconnected(request.trace, simulation.elapsed());
            endUnanswered(request);
        }
    }

    private void endUnanswered(VirtualRequest request) {
        simulation.statistics().requestUnanswered(request.requestClass, simulation.sinceStart(request.firstSentAt));
        simulation.instances().get(request.instance).clientDisconnected(request);
    }

    private void responseReceived(
            VirtualRequest request, Answer answer, long retryAfterNanos, ClientRequest clientRequest) {
        simulation.oracle().responseReceived(request.trace, answer, simulation.elapsed());
        simulation.recorder().digest().add(request.id, answer, now());
        if (answer == Answer.SERVED) {
            long latency = now() + 2 * scenario.network().client() - request.firstSentAt;
            simulation
                    .statistics()
                    .requestServed(request.requestClass, simulation.sinceStart(request.firstSentAt), latency);
        } else {
            endUnserved(clientRequest, request.isRetry, answer, retryAfterNanos);
        }
    }

    private void endUnserved(ClientRequest clientRequest, boolean isRetry, Answer answer, long retryAfterNanos) {
        new ClientTry(clientRequest.generated(), clientRequest.firstSentAt(), isRetry)
                .endUnserved(simulation, answer, retryAfterNanos, () -> send(clientRequest, true));
    }
}
