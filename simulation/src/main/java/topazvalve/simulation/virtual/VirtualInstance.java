package topazvalve.simulation.virtual;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazvalve.policy.Actions;
import topazvalve.policy.AnswerReason;
import topazvalve.policy.AttemptResult;
import topazvalve.policy.EndpointInfo;
import topazvalve.policy.LoadBalancer;
import topazvalve.policy.Outcome;
import topazvalve.policy.Request;
import topazvalve.policy.UpdateKind;
import topazvalve.simulation.model.EndpointDirectory.Entry;
import topazvalve.simulation.oracle.Oracle.Answer;

/**
 * One sidecar in virtual time. It hosts a {@link LoadBalancer} like the real sidecar's core, and carries out its
 * actions over links with delays. Each attempt has one outcome, each request one response.
 */
class VirtualInstance implements Actions {
    static final float[] NO_LOAD_REPORT = {};

    final VirtualSimulation simulation;
    private final int number;
    private final ServerTable servers;
    private final AttemptSender sender;
    private LoadBalancer balancer;

    private final Map<Long, VirtualRequest> requests = new HashMap<>();
    private final SerialDispatcher dispatcher = new SerialDispatcher();
    private boolean running;
    private int incarnation;
    private long revision;

    VirtualInstance(VirtualSimulation simulation, int number, int zone) {
        this.simulation = simulation;
        this.number = number;
        this.servers = new ServerTable(zone);
        this.sender = new AttemptSender(simulation, this);
    }

    int number() {
        return number;
    }

    /** Returns how often it was killed; events of an earlier incarnation have no effect. */
    int incarnation() {
        return incarnation;
    }

    /** Returns the latest revision of the endpoint list of which it was notified. */
    long revision() {
        return revision;
    }

    boolean running() {
        return running;
    }

    /** Starts the instance with a cached endpoint list. */
    void start(LoadBalancer newBalancer, List<Entry> cached, long cachedRevision) {
        balancer = newBalancer;
        running = true;
        revision = cachedRevision;
        applyEntries(cached, cachedRevision);
        dispatch(() -> balancer.start(now()));
        endpointsUpdated(
                UpdateKind.CACHED,
                cached.stream().map(VirtualDiscovery::toEndpointInfo).toList());
    }

    /** Kills the instance. Only attempts that servers do not stop on a cancellation continue. */
    void kill() {
        running = false;
        incarnation++;
        for (VirtualRequest request : List.copyOf(requests.values())) {
            simulation.oracle().waiveResponse(request.trace);
            request.finished = true;
            for (VirtualAttempt attempt : request.attempts) {
                if (attempt != null) {
                    sender.abandon(attempt);
                }
            }
        }
        requests.clear();
        dispatcher.clear();
        servers.clear();
    }

    private long now() {
        return simulation.clock().now();
    }

    /** Runs an event, or queues it if another one is running, so that the load balancer is never called recursively. */
    void dispatch(Runnable event) {
        dispatcher.dispatch(event);
    }

    // Endpoint list.

    /** Applies changes of the endpoint list, before the load balancer is notified of them. */
    void applyEntries(List<Entry> entries, long listRevision) {
        revision = Math.max(revision, listRevision);
        servers.apply(entries);
    }

    /** Notifies the load balancer of changes of the endpoint list. */
    void endpointsUpdated(UpdateKind kind, List<EndpointInfo> endpoints) {
        dispatch(() -> balancer.endpointsUpdated(now(), kind, endpoints));
    }

    @Override
    public void watchEndpoints(boolean watch) {
        simulation.discovery().setSubscribed(this, watch);
    }

    @Override
    public void fetchEndpoints() {
        simulation.discovery().fetch(this);
    }

    // Requests.

    /** Accepts a client's request. */
    void requestReceived(VirtualRequest received) {
        requests.put(received.id, received);
        Request request = received.toPolicyRequest(now());
        dispatch(() -> balancer.requestReceived(now(), request));
    }

    /** A response can no longer reach the client in time. */
    void requestExpired(VirtualRequest request) {
        for (VirtualAttempt attempt : request.attempts) {
            if (attempt != null) {
                sender.timeOut(attempt);
            }
        }
        if (!request.finished) {
            // Like the real sidecar's core, which responds itself if the load balancer does not.
            fail(request.id, AnswerReason.DEADLINE);
        }
    }

    /** The client has disconnected. As in the real sidecar, attempts that have not been written are cancelled. */
    void clientDisconnected(VirtualRequest request) {
        if (request.finished) {
            return;
        }
        request.finished = true;
        removeIfDone(request);
        dispatch(() -> balancer.clientDisconnected(now(), request.id));
        for (VirtualAttempt attempt : request.attempts) {
            if (attempt != null && !attempt.ended && !attempt.written) {
                sender.cancel(attempt);
            }
        }
    }

    /** Responds to the client, unless the client already has a response. */
    void finish(VirtualRequest request, Answer answer, long retryAfterNanos) {
        if (!request.finished) {
            request.finished = true;
            removeIfDone(request);
            request.listener.responseReceived(request, answer, retryAfterNanos);
        }
    }

    private void removeIfDone(VirtualRequest request) {
        if (request.finished && request.attemptsInFlight == 0) {
            requests.remove(request.id);
            simulation.clients().cancelExpiry(request);
        }
    }

    @Override
    public void reject(long requestId, long retryAfterNanos, AnswerReason reason) {
        VirtualRequest request = requests.get(requestId);
        if (request != null) {
            finish(request, Answer.REJECTED, retryAfterNanos);
        }
    }

    @Override
    public void fail(long requestId, AnswerReason reason) {
        VirtualRequest request = requests.get(requestId);
        if (request != null) {
            finish(request, Answer.FAILED, 0);
        }
    }

    // Attempts.

    @Override
    public void forward(long requestId, long endpoint, long timeoutNanos) {
        VirtualRequest request = requests.get(requestId);
        if (request != null) {
            send(request, endpoint, timeoutNanos);
        }
    }

    /** Sends an attempt, or ends it immediately if the host does not allow it or does not know the endpoint. */
    void send(VirtualRequest request, long endpoint, long timeoutNanos) {
        int attemptNumber = request.attemptCount++;
        request.attemptsInFlight++;
        ServerConnections server = servers.get(endpoint);
        if (mustNotSend(request, attemptNumber, now()) || server == null) {
            Outcome outcome = server == null ? Outcome.CONNECT_FAILED : Outcome.NEVER_SENT;
            dispatch(() -> completeAttempt(request, attemptNumber, endpoint, 0, outcome));
            return;
        }
        VirtualAttempt attempt =
                new VirtualAttempt(sender, request, attemptNumber, server, simulation.attemptWork(request), now());
        request.attempts[attemptNumber] = attempt;
        sender.send(attempt, timeoutNanos);
    }

    /** Returns whether the host must not send an attempt, even if the load balancer requests it. */
    boolean mustNotSend(VirtualRequest request, int attemptNumber, long now) {
        return request.finished || attemptNumber >= simulation.attemptLimit() || now >= request.deadline;
    }

    /** Returns how long an attempt that is written now tells its server that the instance will wait. */
    long toldNanos(VirtualRequest request) {
        return request.deadline - now();
    }

    @Override
    public void cancelAttempt(long requestId, int attemptNumber) {
        VirtualRequest request = requests.get(requestId);
        if (request == null || attemptNumber >= request.attempts.length) {
            return;
        }
        VirtualAttempt attempt = request.attempts[attemptNumber];
        if (attempt != null && !attempt.ended) {
            sender.cancel(attempt);
        }
    }

    /** An attempt has ended; the load balancer is notified unless the request has been removed. */
    void attemptEnded(VirtualAttempt attempt, Outcome outcome) {
        VirtualRequest request = attempt.request;
        if (running && requests.get(request.id) == request) {
            long endpoint = attempt.serverConnections.server.id();
            dispatch(() -> completeAttempt(request, attempt.number, endpoint, now() - attempt.sentAt, outcome));
        }
    }

    private void completeAttempt(
            VirtualRequest request, int attemptNumber, long endpoint, long elapsedNanos, Outcome outcome) {
        request.attemptsInFlight--;
        if (outcome == Outcome.OK) {
            finish(request, Answer.SERVED, 0);
        }
        balancer.attemptCompleted(
                now(),
                new AttemptResult(request.id, attemptNumber, endpoint, outcome, elapsedNanos, request.finished),
                NO_LOAD_REPORT);
        removeIfDone(request);
    }

    // Other actions.

    @Override
    public void setTimer(long token, long at) {
        int timerIncarnation = incarnation;
        simulation.clock().scheduleAt(at, () -> {
            if (incarnation == timerIncarnation) {
                dispatch(() -> balancer.timerFired(now(), token));
            }
        });
    }

    @Override
    public void sendHealthCheck(long endpoint) {
        ServerConnections server = servers.get(endpoint);
        if (server != null) {
            new VirtualHealthCheck(simulation, this, server).send();
        }
    }

    /** A health check has ended. Ignored if the instance has been killed since the check was sent. */
    void healthCheckEnded(int sentByIncarnation, long endpoint, Outcome outcome, long sentAt) {
        if (incarnation == sentByIncarnation) {
            dispatch(() -> balancer.healthCheckCompleted(now(), endpoint, outcome, now() - sentAt, NO_LOAD_REPORT));
        }
    }

    @Override
    public void closeIdleConnections(long endpoint) {
        ServerConnections server = servers.get(endpoint);
        if (server != null) {
            server.closeIdle();
        }
    }

    @Override
    public void sendGossip(int peer, byte[] message) {
        throw new UnsupportedOperationException("gossip is not simulated");
    }

    @Override
    public void log(String line) {
        simulation.recordEvent("instance " + number + ": " + line);
    }
}
