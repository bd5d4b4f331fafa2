package topazvalve.world.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import topazvalve.decisions.Balancer;

/**
 * What every textbook policy shares: it follows the list, sends at once, and tries again on another choice as
 * often as the class and the limit allow. It looks at no health and spares no cold server, as the textbook's.
 */
final class Textbook implements Balancer {
    private static final long ASK_AGAIN = 1_000_000_000L;

    /** A ready server and what this instance has out there. */
    static final class Server {
        final long id;
        final int zone;
        final int cell;
        int inFlight;

        Server(Upstream upstream) {
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
    private final Map<Long, Upstream> listed = new HashMap<>();
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
        if (settings.discovery() == Discovery.SUBSCRIBE) {
            actions.subscribe(true);
        }
    }

    @Override
    public void listChanged(long now, ListKind kind, List<Upstream> entries) {
        if (kind == ListKind.FAILED) {
            actions.timer(1, now + ASK_AGAIN);
            return;
        }
        if (kind != ListKind.DELTA) {
            listed.clear();
        }
        entries.forEach(each -> listed.put(each.id(), each));
        ready.clear();
        listed.values().stream()
                .filter(each -> each.state() == State.READY)
                .sorted((a, b) -> Long.compare(a.id(), b.id()))
                .forEach(each -> ready.add(servers.computeIfAbsent(each.id(), id -> new Server(each))));
        servers.values().removeIf(each -> each.inFlight == 0 && !listed.containsKey(each.id));
    }

    @Override
    public void request(long now, Request request) {
        Call call = new Call(request, now + request.timeLeft());
        calls.put(request.id(), call);
        place(now, call);
    }

    @Override
    public void requestBegun(long now, Request request) {
        request(now, request);
    }

    @Override
    public void requestWhole(long now, long request) {}

    @Override
    public void unrepeatable(long now, long request) {}

    @Override
    public void firstByte(long now, long request, int attempt, long upstream, long elapsed) {}

    private void place(long now, Call call) {
        if (ready.isEmpty() || call.tries >= settings.allowed().tryLimit() || now >= call.deadline) {
            giveUp(call);
            return;
        }
        Server server = ready.get(choice.pick(ready, turn++));
        server.inFlight++;
        call.tries++;
        actions.send(call.request.id(), server.id, 0);
    }

    private void giveUp(Call call) {
        calls.remove(call.request.id());
        RequestClass kind = settings.classes().get(call.request.requestClass());
        boolean harmless = !call.mayHaveRun || kind.semantics() == Semantics.REPEATABLE;
        if (harmless) {
            actions.refuse(call.request.id(), 0);
        } else {
            actions.fail(call.request.id());
        }
    }

    @Override
    public void outcome(
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
        RequestClass kind = settings.classes().get(call.request.requestClass());
        if (!call.mayHaveRun || kind.semantics() == Semantics.REPEATABLE) {
            place(now, call);
        } else {
            giveUp(call);
        }
    }

    @Override
    public void hangup(long now, long request) {
        calls.remove(request);
    }

    @Override
    public void timer(long now, long token) {
        actions.subscribe(true);
    }

    @Override
    public void retuned(long now, Settings next) {
        settings = Objects.requireNonNull(next);
    }

    @Override
    public int avoided(long now) {
        return 0;
    }
}
