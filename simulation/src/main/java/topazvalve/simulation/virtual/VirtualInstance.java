package topazvalve.simulation.virtual;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazvalve.policy.LoadBalancer;
import topazvalve.policy.LoadBalancer.EndpointInfo;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.policy.LoadBalancer.Outcome;
import topazvalve.policy.LoadBalancer.Request;
import topazvalve.policy.LoadBalancer.UpdateKind;
import topazvalve.simulation.model.EndpointDirectory.Entry;
import topazvalve.simulation.model.OrderServer;
import topazvalve.simulation.model.OrderServer.Mode;
import topazvalve.simulation.model.ServerAttempt;
import topazvalve.simulation.oracle.Oracle.Answer;

/**
 * One sidecar in virtual time: hosts a {@link LoadBalancer} as the real one's engine does, and carries out what
 * it orders, over links that take time. Each send has one outcome, each request one final answer.
 */
class VirtualInstance implements LoadBalancer.Actions {
    private static final float[] NO_REPORT = {};
    private static final long PROBE_TIMEOUT = 250_000_000;
    private static final double PROBE_WORK = 130_000;

    final VirtualWorld world;
    private final int number;
    private final int zone;
    private LoadBalancer balancer;
    /** By the server's id, which is small and given out in turn. */
    private Peer[] peers = new Peer[16];

    private final Map<Long, VirtualCall> calls = new HashMap<>();
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private boolean telling;
    private boolean running;
    private int life;
    private long revision;

    VirtualInstance(VirtualWorld world, int number, int zone) {
        this.world = world;
        this.number = number;
        this.zone = zone;
    }

    int number() {
        return number;
    }

    int life() {
        return life;
    }

    /** The newest revision of the list that it has heard. */
    long revision() {
        return revision;
    }

    boolean running() {
        return running;
    }

    /** Begins with the list that it had when it last ran. */
    void start(LoadBalancer made, List<Entry> known, long knownRevision) {
        balancer = made;
        running = true;
        revision = knownRevision;
        heard(known, knownRevision);
        tell(() -> balancer.start(now()));
        listed(UpdateKind.CACHED, known.stream().map(VirtualDiscovery::line).toList());
    }

    /** Killed: nothing of it is left but for what servers still hold. */
    void kill() {
        running = false;
        life++;
        for (VirtualCall call : List.copyOf(calls.values())) {
            world.oracle().excuse(call.trace);
            call.over = true;
            for (int i = 0; i < call.tries && i < call.attempts.length; i++) {
                if (call.attempts[i] != null) {
                    giveUp(call.attempts[i]);
                }
            }
        }
        calls.clear();
        events.clear();
        for (Peer each : peers) {
            if (each != null) {
                each.closeIdle();
            }
        }
        Arrays.fill(peers, null);
    }

    private long now() {
        return world.clock().now();
    }

    private void tell(Runnable event) {
        if (telling) {
            events.add(event);
            return;
        }
        telling = true;
        try {
            event.run();
            while (!events.isEmpty()) {
                events.poll().run();
            }
        } finally {
            telling = false;
        }
    }

    // The list.

    /** Takes over what the list says, before the balancer hears of it. */
    void heard(List<Entry> entries, long listRevision) {
        revision = Math.max(revision, listRevision);
        for (Entry each : entries) {
            OrderServer server = each.server();
            Peer peer = meet(server);
            if (each.startedAt() > peer.toldStart) {
                peer.toldStart = each.startedAt();
                peer.closeIdle();
            }
            if (each.state() != EndpointStatus.READY) {
                peer.closeIdle();
            }
        }
    }

    private Peer meet(OrderServer server) {
        int id = (int) server.id();
        if (id >= peers.length) {
            peers = Arrays.copyOf(peers, Math.max(id + 1, peers.length * 2));
        }
        if (peers[id] == null) {
            peers[id] = new Peer(server, server.pod().zone() != zone);
        }
        return peers[id];
    }

    private Peer peer(long id) {
        return id < peers.length ? peers[(int) id] : null;
    }

    void listed(UpdateKind kind, List<EndpointInfo> lines) {
        tell(() -> balancer.endpointsUpdated(now(), kind, lines));
    }

    // Requests.

    /** Takes a client's request. */
    void request(VirtualCall call) {
        calls.put(call.id, call);
        Request request =
                new Request(call.id, call.requestClass, 0, call.key, call.deadline - now(), 0, call.retry, true);
        tell(() -> balancer.requestReceived(now(), request));
    }

    /** The client's time is over for all that this instance can still do. */
    void expire(VirtualCall call) {
        for (int i = 0; i < call.attempts.length; i++) {
            VirtualAttempt attempt = call.attempts[i];
            if (attempt != null && !attempt.ended) {
                late(attempt);
            }
        }
        if (!call.over) {
            // As the real host: whatever the module may have missed.
            fail(call.id);
        }
    }

    /** The client has left: as in the real host, what is not written yet is given up, cancel or not. */
    void hangup(VirtualCall call) {
        if (!call.over) {
            call.over = true;
            forget(call);
            tell(() -> balancer.clientDisconnected(now(), call.id));
            for (VirtualAttempt attempt : call.attempts) {
                if (attempt != null && !attempt.ended && !attempt.written) {
                    giveUp(attempt);
                    tell(() -> ended(attempt, Outcome.CANCELLED));
                }
            }
        }
    }

    void finish(VirtualCall call, Answer answer, long wait) {
        if (!call.over) {
            call.over = true;
            forget(call);
            call.client.answered(call, answer, wait);
        }
    }

    private void forget(VirtualCall call) {
        if (call.over && call.out == 0) {
            calls.remove(call.id);
            world.clients().forgotten(call);
        }
    }

    VirtualCall call(long id) {
        return calls.get(id);
    }

    @Override
    public void reject(long request, long wait) {
        VirtualCall call = calls.get(request);
        if (call != null) {
            finish(call, Answer.REFUSED, wait);
        }
    }

    @Override
    public void fail(long request) {
        VirtualCall call = calls.get(request);
        if (call != null) {
            finish(call, Answer.FAILED, 0);
        }
    }

    @Override
    public void forward(long request, long upstream, long timeout) {
        VirtualCall call = calls.get(request);
        if (call != null) {
            send(call, upstream, timeout);
        }
    }

    void send(VirtualCall call, long upstream, long timeout) {
        int mine = call.tries++;
        call.out++;
        long now = now();
        Peer peer = peer(upstream);
        if (refusesToSend(call, mine, now) || peer == null) {
            tell(() -> outcome(call, mine, upstream, 0, peer == null ? Outcome.CONNECT_FAILED : Outcome.NEVER_SENT));
            return;
        }
        VirtualAttempt attempt = new VirtualAttempt(this, call, mine, peer, world.attemptWork(call), now);
        call.attempts[mine] = attempt;
        if (timeout != 0 && now + timeout < call.deadline) {
            world.clock().scheduleAt(now + Math.max(0, timeout), () -> late(attempt));
        }
        Peer.Connection idle = peer.take();
        long there = world.link().nextDelayNanos(peer.crossZone);
        if (idle != null) {
            world.busy(idle);
            attempt.connection = idle;
            attempt.written = true;
            world.oracle().attemptInFlight(call.trace);
            world.clock().scheduleAt(now + there, () -> arrives(attempt));
        } else {
            world.clock().scheduleAt(now + there, () -> connects(attempt));
        }
    }

    /** What the host holds back, whatever the module orders. */
    boolean refusesToSend(VirtualCall call, int mine, long now) {
        return call.over || mine >= world.attemptLimit() || now >= call.deadline;
    }

    private void connects(VirtualAttempt attempt) {
        OrderServer server = attempt.peer.server;
        Mode mode = server.mode();
        if (attempt.ended) {
            return;
        }
        long back = world.link().nextDelayNanos(attempt.peer.crossZone);
        if (mode == Mode.VANISHED) {
            world.clock()
                    .scheduleAt(
                            attempt.sentAt + world.scenario().limits().connectTimeout(),
                            () -> ended(attempt, Outcome.CONNECT_FAILED));
        } else if (mode == Mode.DOWN || mode == Mode.REFUSING || !server.acceptConnection()) {
            world.clock().scheduleAt(now() + back, () -> ended(attempt, Outcome.CONNECT_FAILED));
        } else {
            world.tally().connection();
            attempt.connection = new Peer.Connection(attempt.peer, server.incarnation());
            long there = world.link().nextDelayNanos(attempt.peer.crossZone);
            world.clock().scheduleAt(now() + back, () -> {
                if (!attempt.ended) {
                    attempt.written = true;
                    world.oracle().attemptInFlight(attempt.call.trace);
                }
            });
            world.clock().scheduleAt(now() + back + there, () -> arrives(attempt));
        }
    }

    private void arrives(VirtualAttempt attempt) {
        OrderServer server = attempt.peer.server;
        if (attempt.ended || server.mode() == Mode.VANISHED) {
            return;
        }
        if (server.incarnation() != attempt.connection.life) {
            comesBack(attempt, Outcome.RESET);
            return;
        }
        attempt.received = true;
        server.offer(attempt, attempt.peer.toldStart >= server.startedAt());
        if (server.incarnation() == attempt.connection.life || attempt.ran) {
            world.received(attempt);
        }
    }

    /** Something comes back from the server's end; it takes its time. */
    void comesBack(VirtualAttempt attempt, Outcome outcome) {
        world.clock()
                .scheduleAt(now() + world.link().nextDelayNanos(attempt.peer.crossZone), () -> ended(attempt, outcome));
    }

    void servedAtServer(VirtualCall call) {
        world.oracle().responseSent(call.trace);
    }

    void neverRan(VirtualCall call) {
        world.oracle().attemptNeverRan(call.trace);
    }

    private void late(VirtualAttempt attempt) {
        if (!attempt.ended) {
            giveUp(attempt);
            ended(attempt, attempt.written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        }
    }

    private void giveUp(VirtualAttempt attempt) {
        attempt.peer.server.cancel(attempt);
        if (attempt.connection != null) {
            attempt.connection.close();
        }
    }

    private void ended(VirtualAttempt attempt, Outcome outcome) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        Peer.Connection connection = attempt.connection;
        if (connection != null && !connection.closed) {
            boolean keeps = running
                    && (outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.REJECTED)
                    && connection.life == attempt.peer.server.incarnation();
            if (keeps) {
                connection.idle = true;
                attempt.peer.idle.addLast(connection);
                world.idle(connection);
            } else {
                connection.close();
            }
        }
        if (running && calls.get(attempt.call.id) == attempt.call) {
            tell(() ->
                    outcome(attempt.call, attempt.number, attempt.peer.server.id(), now() - attempt.sentAt, outcome));
        }
    }

    private void outcome(VirtualCall call, int attempt, long upstream, long elapsed, Outcome outcome) {
        call.out--;
        if (outcome == Outcome.OK) {
            finish(call, Answer.SERVED, 0);
        }
        balancer.attemptCompleted(now(), call.id, attempt, upstream, outcome, elapsed, call.over, NO_REPORT);
        forget(call);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        VirtualCall call = calls.get(request);
        if (call != null
                && attempt < call.attempts.length
                && call.attempts[attempt] != null
                && !call.attempts[attempt].ended) {
            VirtualAttempt cancelled = call.attempts[attempt];
            giveUp(cancelled);
            tell(() -> ended(cancelled, Outcome.CANCELLED));
        }
    }

    @Override
    public void setTimer(long token, long at) {
        int mine = life;
        world.clock().scheduleAt(at, () -> {
            if (life == mine) {
                tell(() -> balancer.timerFired(now(), token));
            }
        });
    }

    @Override
    public void sendHealthCheck(long upstream) {
        Peer peer = peer(upstream);
        if (peer != null) {
            new Probe(peer).send();
        }
    }

    /** A probe waits and is served like a request. */
    private final class Probe extends ServerAttempt {
        private final Peer peer;
        private final long sentAt = now();
        private final int mine = life;
        private boolean ended;

        Probe(Peer peer) {
            super(PROBE_WORK, 0, 0, now() + PROBE_TIMEOUT);
            this.peer = peer;
        }

        void send() {
            world.tally().probe();
            world.clock().scheduleAt(sentAt + world.link().nextDelayNanos(peer.crossZone), () -> {
                Mode mode = peer.server.mode();
                if (mode == Mode.DOWN || mode == Mode.REFUSING) {
                    back(Outcome.CONNECT_FAILED);
                } else {
                    peer.server.offer(this, true);
                }
            });
            world.clock().scheduleAt(sentAt + PROBE_TIMEOUT, () -> end(Outcome.TIMEOUT));
        }

        private void back(Outcome outcome) {
            world.clock().scheduleAt(now() + world.link().nextDelayNanos(peer.crossZone), () -> end(outcome));
        }

        private void end(Outcome outcome) {
            if (!ended && life == mine) {
                ended = true;
                tell(() -> balancer.healthCheckCompleted(now(), peer.server.id(), outcome, now() - sentAt, NO_REPORT));
            }
        }

        @Override
        protected void started() {}

        @Override
        protected void completed(boolean good, boolean spoilt) {
            back(good ? Outcome.OK : Outcome.ERROR);
        }

        @Override
        protected void rejected() {
            back(Outcome.REJECTED);
        }

        @Override
        protected void reset() {
            back(Outcome.RESET);
        }

        @Override
        protected void discarded() {}
    }

    @Override
    public void closeIdleConnections(long upstream) {
        Peer peer = peer(upstream);
        if (peer != null) {
            peer.closeIdle();
        }
    }

    /** Instances share nothing. */
    @Override
    public void sendGossip(int peer, byte[] message) {
        throw new UnsupportedOperationException("peers");
    }

    @Override
    public void log(String line) {
        world.recordEvent("instance " + number + ": " + line);
    }

    @Override
    public void watchEndpoints(boolean on) {
        world.discovery().subscribe(this, on);
    }

    @Override
    public void fetchEndpoints() {
        world.discovery().fetch(this);
    }
}
