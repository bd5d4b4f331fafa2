package topazvalve.simulation.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import topazvalve.policy.Actions;
import topazvalve.policy.AnswerReason;
import topazvalve.policy.AttemptResult;
import topazvalve.policy.DiscoveryMode;
import topazvalve.policy.EndpointInfo;
import topazvalve.policy.EndpointStatus;
import topazvalve.policy.Idempotency;
import topazvalve.policy.LoadBalancer;
import topazvalve.policy.Request;
import topazvalve.policy.RequestClass;
import topazvalve.policy.Settings;
import topazvalve.policy.UpdateKind;

/**
 * The common part of the textbook policies: they watch the endpoint list, forward each request immediately, and retry
 * on a newly selected server while the request's class, its deadline and the attempt limit allow it. They have no
 * outlier detection, slow start, admission control or health checks.
 */
final class TextbookLoadBalancer implements LoadBalancer {
    private static final long RESUBSCRIBE_TIMER = 1;
    private static final long RESUBSCRIBE_DELAY_NANOS = 1_000_000_000L;

    /** A server and the number of this instance's requests that are in flight to it. */
    static final class Server {
        final long id;
        final int zone;
        final int cell;
        int inFlight;

        Server(EndpointInfo endpoint) {
            this.id = endpoint.id();
            this.zone = endpoint.zone();
            this.cell = endpoint.cell();
        }
    }

    /** Selects a server for an attempt. */
    interface Selection {
        /**
         * Returns the index of a ready server.
         *
         * @param turn the number of earlier selections
         */
        int select(List<Server> ready, long turn);
    }

    private static final class PendingRequest {
        private final Request request;
        private final long deadline;
        private int attempts;
        private boolean mayHaveRun;

        PendingRequest(Request request, long deadline) {
            this.request = request;
            this.deadline = deadline;
        }
    }

    private Settings settings;
    private final Actions actions;
    private final Selection selection;
    private final Map<Long, EndpointInfo> endpoints = new HashMap<>();
    private final Map<Long, Server> servers = new HashMap<>();
    private final List<Server> ready = new ArrayList<>();
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private long selections;

    TextbookLoadBalancer(Settings settings, Actions actions, Selection selection) {
        this.settings = settings;
        this.actions = actions;
        this.selection = selection;
    }

    @Override
    public void start(long now) {
        if (settings.discoveryMode() == DiscoveryMode.SUBSCRIBE) {
            actions.watchEndpoints(true);
        }
    }

    @Override
    public void endpointsUpdated(long now, UpdateKind kind, List<EndpointInfo> entries) {
        if (kind == UpdateKind.FAILED) {
            actions.setTimer(RESUBSCRIBE_TIMER, now + RESUBSCRIBE_DELAY_NANOS);
            return;
        }
        if (kind != UpdateKind.DELTA) {
            endpoints.clear();
        }
        entries.forEach(each -> endpoints.put(each.id(), each));
        ready.clear();
        endpoints.values().stream()
                .filter(each -> each.status() == EndpointStatus.READY)
                .sorted(Comparator.comparingLong(EndpointInfo::id))
                .forEach(each -> ready.add(servers.computeIfAbsent(each.id(), id -> new Server(each))));
        servers.values().removeIf(each -> each.inFlight == 0 && !endpoints.containsKey(each.id));
    }

    @Override
    public void requestReceived(long now, Request request) {
        PendingRequest pendingRequest = new PendingRequest(request, now + request.timeLeftNanos());
        pending.put(request.id(), pendingRequest);
        forward(now, pendingRequest);
    }

    @Override
    public void requestStarted(long now, Request request) {
        requestReceived(now, request);
    }

    @Override
    public void requestBodyCompleted(long now, long request) {}

    @Override
    public void bodyNotReplayable(long now, long request) {}

    @Override
    public void responseStarted(long now, long request, int attempt, long endpoint, long elapsed) {}

    private void forward(long now, PendingRequest pendingRequest) {
        if (ready.isEmpty()
                || pendingRequest.attempts >= settings.capabilities().maxAttempts()
                || now >= pendingRequest.deadline) {
            giveUp(pendingRequest);
            return;
        }
        Server server = ready.get(selection.select(ready, selections));
        selections++;
        server.inFlight++;
        pendingRequest.attempts++;
        actions.forward(pendingRequest.request.id(), server.id, 0);
    }

    private void giveUp(PendingRequest pendingRequest) {
        pending.remove(pendingRequest.request.id());
        if (mayRetry(pendingRequest)) {
            actions.reject(pendingRequest.request.id(), 0, AnswerReason.ATTEMPT_FAILED);
        } else {
            actions.fail(pendingRequest.request.id(), AnswerReason.ATTEMPT_FAILED);
        }
    }

    private boolean mayRetry(PendingRequest pendingRequest) {
        RequestClass requestClass = settings.requestClasses().get(pendingRequest.request.requestClass());
        return !pendingRequest.mayHaveRun || requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    @Override
    public void attemptCompleted(long now, AttemptResult result, float[] loadReport) {
        Server server = servers.get(result.endpoint());
        if (server != null && server.inFlight > 0) {
            server.inFlight--;
        }
        PendingRequest pendingRequest = pending.get(result.request());
        if (pendingRequest == null) {
            return;
        }
        if (result.requestCompleted()) {
            pending.remove(result.request());
            return;
        }
        pendingRequest.mayHaveRun |= !result.outcome().provesNeverRan();
        if (mayRetry(pendingRequest)) {
            forward(now, pendingRequest);
        } else {
            giveUp(pendingRequest);
        }
    }

    @Override
    public void clientDisconnected(long now, long request) {
        pending.remove(request);
    }

    @Override
    public void timerFired(long now, long token) {
        actions.watchEndpoints(true);
    }

    @Override
    public void settingsChanged(long now, Settings newSettings) {
        settings = Objects.requireNonNull(newSettings);
    }

    @Override
    public int ejectedCount(long now) {
        return 0;
    }
}
