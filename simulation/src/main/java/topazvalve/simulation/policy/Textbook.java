package topazvalve.simulation.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import topazvalve.policy.LoadBalancer;

/**
 * What every textbook policy shares: it follows the list, sends at once, and tries again on another choice as
 * often as the class and the limit allow. It looks at no health and spares no cold server, as the textbook's.
 */
final class Textbook implements LoadBalancer {
    private static final long ASK_AGAIN = 1_000_000_000L;

    /** A ready server and what this instance has out there. */
    static final class Server {
        final long id;
        final int zone;
        final int cell;
        int inFlight;

        Server(EndpointInfo upstream) {
            this.id = upstream.id();
            this.zone = upstream.zone();
            this.cell = upstream.cell();
        }
    }

    /** Picks one of the ready servers. */
    interface Choice {
        int pick(List<Server> ready, long turn);
    }

    private static final class Call {
        private final Request request;
        private final long deadline;
        private int tries;
        private boolean mayHaveRun;

        Call(Request request, long deadline) {
            this.request = request;
            this.deadline = deadline;
        }
    }

    private Settings settings;
    private final Actions actions;
    private final Choice choice;
    private final Map<Long, EndpointInfo> listed = new HashMap<>();
    private final Map<Long, Server> servers = new HashMap<>();
    private final List<Server> ready = new ArrayList<>();
    private final Map<Long, Call> calls = new HashMap<>();
    private long turn;

    Textbook(Settings settings, Actions actions, Choice choice) {
        this.settings = settings;
        this.actions = actions;
        this.choice = choice;
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
            actions.setTimer(1, now + ASK_AGAIN);
            return;
        }
        if (kind != UpdateKind.DELTA) {
            listed.clear();
        }
        entries.forEach(each -> listed.put(each.id(), each));
        ready.clear();
        listed.values().stream()
                .filter(each -> each.status() == EndpointStatus.READY)
                .sorted((a, b) -> Long.compare(a.id(), b.id()))
                .forEach(each -> ready.add(servers.computeIfAbsent(each.id(), id -> new Server(each))));
        servers.values().removeIf(each -> each.inFlight == 0 && !listed.containsKey(each.id));
    }

    @Override
    public void requestReceived(long now, Request request) {
        Call call = new Call(request, now + request.timeLeftNanos());
        calls.put(request.id(), call);
        place(now, call);
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
    public void responseStarted(long now, long request, int attempt, long upstream, long elapsed) {}

    private void place(long now, Call call) {
        if (ready.isEmpty() || call.tries >= settings.capabilities().maxAttempts() || now >= call.deadline) {
            giveUp(call);
            return;
        }
        Server server = ready.get(choice.pick(ready, turn++));
        server.inFlight++;
        call.tries++;
        actions.forward(call.request.id(), server.id, 0);
    }

    private void giveUp(Call call) {
        calls.remove(call.request.id());
        RequestClass kind = settings.requestClasses().get(call.request.requestClass());
        boolean harmless = !call.mayHaveRun || kind.idempotency() == Idempotency.IDEMPOTENT;
        if (harmless) {
            actions.reject(call.request.id(), 0);
        } else {
            actions.fail(call.request.id());
        }
    }

    @Override
    public void attemptCompleted(
            long now,
            long request,
            int attempt,
            long upstream,
            Outcome outcome,
            long elapsed,
            boolean ended,
            float[] load) {
        Server server = servers.get(upstream);
        if (server != null && server.inFlight > 0) {
            server.inFlight--;
        }
        Call call = calls.get(request);
        if (call == null) {
            return;
        }
        if (ended) {
            calls.remove(request);
            return;
        }
        call.mayHaveRun |= !outcome.provesNeverRan();
        RequestClass kind = settings.requestClasses().get(call.request.requestClass());
        if (!call.mayHaveRun || kind.idempotency() == Idempotency.IDEMPOTENT) {
            place(now, call);
        } else {
            giveUp(call);
        }
    }

    @Override
    public void clientDisconnected(long now, long request) {
        calls.remove(request);
    }

    @Override
    public void timerFired(long now, long token) {
        actions.watchEndpoints(true);
    }

    @Override
    public void settingsChanged(long now, Settings next) {
        settings = Objects.requireNonNull(next);
    }

    @Override
    public int ejectedCount(long now) {
        return 0;
    }
}
