package topazvalve.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Every decision of one sidecar; {@code docs/design/policy.md} gives the reason for each rule. */
public final class SidecarPolicy implements LoadBalancer {
    private static final long NEWS_TIME = 6_000_000_000L; // fits two calls' waits of 2 s and a back-off
    private Settings settings;
    private final Actions actions;
    private final Random random;
    private final Pattern pattern = new Pattern();
    private final Ledger ledger = new Ledger();
    private final Roster roster;
    private final Health health;
    private final Admission admission;
    private final Reports reports;
    private final TimerQueue alarms;

    public SidecarPolicy(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new Random(seed);
        this.alarms = new TimerQueue(actions);
        this.roster = new Roster();
        this.health = new Health();
        this.admission = new Admission();
        this.reports = new Reports();
    }

    @Override
    public void start(long now) {
        roster.follow(now);
        alarms.armTimer();
    }

    @Override
    public void endpointsUpdated(long now, UpdateKind kind, List<EndpointInfo> entries) {
        roster.listChanged(now, kind, entries);
        admission.drain(now);
        alarms.armTimer();
    }

    @Override
    public void requestReceived(long now, Request request) {
        open(now, request, false);
    }

    @Override
    public void requestStarted(long now, Request request) {
        open(now, request, true);
    }

    private void open(long now, Request request, boolean arriving) {
        if (request.requestClass() >= settings.requestClasses().size()) {
            throw new IllegalArgumentException("request of unknown class " + request.requestClass());
        }
        Call call = ledger.open(now, request, arriving);
        roster.offered.add(now, roster.work(call));
        admission.wanted.add(now, Admission.GOOD * call.aim);
        admission.admit(now, call);
        alarms.armTimer();
    }

    @Override
    public void requestBodyCompleted(long now, long request) {
        Call call = ledger.calls.get(request);
        if (call != null && call.arriving) {
            ledger.whole(now, call);
            alarms.armTimer();
        }
    }

    @Override
    public void bodyNotReplayable(long now, long request) {
        Call call = ledger.calls.get(request);
        if (call != null) {
            call.unrepeatable = true;
        }
    }

    @Override
    public void responseStarted(long now, long request, int attempt, long upstream, long elapsed) {
        Call call = ledger.calls.get(request);
        if (call != null && attempt < call.attempts.size()) {
            call.streaming = true;
            ledger.settle(now, call.attempts.get(attempt), Outcome.OK, call);
            admission.drain(now);
            alarms.armTimer();
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
        ledger.outcome(now, request, attempt, outcome, ended);
        admission.drain(now);
        alarms.armTimer();
    }

    @Override
    public void healthCheckCompleted(long now, long upstream, Outcome outcome, long elapsed, float[] load) {
        Server server = roster.servers.get(upstream);
        if (server != null) {
            health.told(now, server, outcome);
            reports.told(now, server, outcome, load);
            admission.drain(now);
        }
        alarms.armTimer();
    }

    @Override
    public void clientDisconnected(long now, long request) {
        Call call = ledger.calls.get(request);
        if (call != null) {
            ledger.close(call);
        }
    }

    @Override
    public void timerFired(long now, long token) {
        alarms.fire(now, token);
        admission.drain(now);
        alarms.armTimer();
    }

    @Override
    public void settingsChanged(long now, Settings next) {
        settings = next;
        roster.retuned(now);
        health.retuned();
        admission.retuned(now);
        reports.retuned();
        admission.drain(now);
        alarms.armTimer();
    }

    @Override
    public int ejectedCount(long now) {
        return (int) roster.ready.stream()
                .filter(server -> health.shutToAll(now, server))
                .count();
    }

    /** The order, the pointer and the pick. */
    private final class Pattern {
        private final List<Server> order = new ArrayList<>();
        private int pointer;

        void redraw(List<Server> ready) {
            order.clear();
            order.addAll(ready);
            Collections.shuffle(order, random);
            pointer = 0;
        }

        /** The less busy of the pointed entry and the next; null if no endpoint may take the request. */
        Server pick(long now, Call call, boolean ignoreHealth) {
            if (!call.attempts.isEmpty() && !ledger.mayTryAgain(now, call)) {
                return null;
            }
            Server pointed = null;
            Server passedOver = null;
            int start = pointer;
            for (int i = 0; i < order.size(); i++) {
                int at = (start + i) % order.size();
                Server server = order.get(at);
                if (!mayTake(now, server, call, ignoreHealth)) {
                    continue;
                }
                if (pointed != null) {
                    return server.holds() < pointed.holds() ? server : pointed;
                }
                if (!takesTurn(server, call)) {
                    passedOver = passedOver == null ? server : passedOver;
                    continue;
                }
                pointed = server;
                if (call.attempts.isEmpty()) {
                    pointer = (at + 1) % order.size();
                }
            }
            return pointed != null ? pointed : passedOver;
        }

        List<Server> ahead(long now, Call call, int most) {
            List<Server> open = new ArrayList<>(most);
            for (int i = 0; i < order.size() && open.size() < most; i++) {
                Server server = order.get((pointer + i) % order.size());
                if (mayTake(now, server, call, false)) {
                    open.add(server);
                }
            }
            return open;
        }

        private boolean takesTurn(Server server, Call call) {
            server.credit += health.turnShare(server, call);
            if (server.credit < 1) {
                return false;
            }
            server.credit -= 1;
            return true;
        }
    }

    private boolean mayTake(long now, Server server, Call call, boolean ignoreHealth) {
        return ledger.mayGoTo(call, server)
                && server.inFlight < Math.max(1, (int) server.limit)
                && (ignoreHealth || (health.open(now, server, call) && !reports.crowded(server, call)))
                && roster.coldRoom(now, server, call);
    }

    /** What is known of one upstream. */
    private static final class Server {
        EndpointInfo entry;
        int inFlight;
        int streams;
        long coldUntil;
        double credit;
        double coldTokens;
        boolean coldMet;
        long coldAt;
        double load;
        long integratedAt;
        double exposure;
        double heard;
        int connectFailures;
        long nextTrial;
        long backoff;
        /** A probe is out; the last one was answered, and no request has followed it. */
        boolean asked;

        boolean vouched;
        int unanswered;
        double limit = Admission.FIRST_LIMIT;
        long lastCut;
        double holds = Double.MAX_VALUE;
        final List<Call> askers = new ArrayList<>(2);

        Server(EndpointInfo entry, long now) {
            this.entry = entry;
            this.integratedAt = now;
            this.coldAt = now;
        }

        int holds() {
            return inFlight + streams;
        }
    }

    private static final class Attempt {
        final Server server;
        final long sentAt;
        final double found;
        /** When the upstream had the whole request, and how much it had before; from then it is in flight. */
        long wholeAt;

        int crowd;
        boolean inFlight;
        boolean settled;
        /** Among what is in flight in all. */
        boolean counted;

        boolean stream;
        boolean out = true;
        boolean mayHaveRun = true;

        Attempt(Server server, long sentAt) {
            this.server = server;
            this.sentAt = sentAt;
            this.wholeAt = sentAt;
            this.found = server.holds++;
        }
    }

    private static final class Call {
        final Request request;
        final RequestClass kind;
        final int tryLimit;
        final long aim;
        private final long elapsed;
        long deadline;
        long aimAt;
        boolean arriving;
        boolean unrepeatable;
        final List<Attempt> attempts = new ArrayList<>(2);
        boolean closed;
        boolean held;
        boolean streaming;
        boolean asked;
        int pending;
        List<Server> looked = List.of();
        double bar;
        double expected;

        Call(Request request, RequestClass kind, int tryLimit, long now, long elapsed) {
            this.request = request;
            this.kind = kind;
            this.tryLimit = tryLimit;
            this.elapsed = elapsed;
            this.aim = (long) Math.min(
                    kind.latencyObjectiveNanos() + kind.objectiveStretch() * request.costHintNanos(),
                    kind.deadlineNanos());
            startClock(now);
        }

        /** The client's time runs from now on. */
        void startClock(long now) {
            deadline = now + request.timeLeftNanos();
            aimAt = now - elapsed + Math.min(request.timeLeftNanos() + elapsed, aim);
        }

        /** While its body is on its way to an upstream, the time is the client's own. */
        void stopClock() {
            deadline = Long.MAX_VALUE;
            aimAt = Long.MAX_VALUE;
        }

        /** Queued for longer, half of such requests would be late. */
        long hopelessAt() {
            return aimAt - (long) (1.5 * Math.min(expected, aim / 2.0));
        }

        /** Whether the last attempt is out; there is never more than one. */
        boolean waiting() {
            return !attempts.isEmpty() && attempts.get(attempts.size() - 1).out;
        }
    }

    /** Each request's attempts, what is proven of them, and its one answer. */
    private final class Ledger {
        private final Map<Long, Call> calls = new HashMap<>();

        Call open(long now, Request request, boolean arriving) {
            Call call = new Call(
                    request,
                    settings.requestClasses().get(request.requestClass()),
                    settings.capabilities().maxAttempts(),
                    now,
                    admission.elapsed(request));
            call.expected = Math.max(
                    call.aim / 1000.0, health.usual.get(request.requestClass()).expected(request.costHintNanos()));
            call.arriving = arriving;
            calls.put(request.id(), call);
            endAtDeadline(call);
            return call;
        }

        private void endAtDeadline(Call call) {
            alarms.schedule(call.deadline, at -> {
                if (!call.streaming && at >= call.deadline) {
                    answer(call);
                }
            });
        }

        /** The body's end has come: its time and the attempt that reads it count from now on. */
        void whole(long now, Call call) {
            call.arriving = false;
            startClock(now, call);
            if (call.waiting()) {
                Attempt attempt = call.attempts.get(call.attempts.size() - 1);
                attempt.wholeAt = now;
                takeOff(now, attempt, call);
            }
        }

        private void startClock(long now, Call call) {
            call.startClock(now);
            endAtDeadline(call);
            if (call.held) {
                admission.endWhenHopeless(now, call);
            }
        }

        private void takeOff(long now, Attempt attempt, Call call) {
            attempt.crowd = attempt.server.inFlight++;
            attempt.inFlight = true;
            admission.tookOff(attempt);
            health.loaded(now, attempt.server, call);
        }

        void settle(long now, Attempt attempt, Outcome outcome, Call call) {
            if (attempt.settled) {
                return;
            }
            attempt.settled = true;
            admission.landed(attempt);
            if (attempt.inFlight) {
                attempt.server.inFlight--;
                attempt.stream = call.streaming && call.kind.streaming() && attempt.out;
                attempt.server.streams += attempt.stream ? 1 : 0;
            }
            health.ended(now, attempt, outcome, call);
            if (outcome != Outcome.CONNECT_FAILED) {
                admission.ended(now, attempt, outcome, call);
            }
        }

        /** The first attempt that may have run, or null while every one is proven not to have. */
        private Attempt firstDoubt(Call call) {
            for (Attempt attempt : call.attempts) {
                if (attempt.mayHaveRun) {
                    return attempt;
                }
            }
            return null;
        }

        /** Whether some further attempt is allowed now, whichever server it goes to. */
        boolean mayTryAgain(long now, Call call) {
            if (call.closed
                    || call.streaming
                    || call.unrepeatable
                    || now >= call.deadline
                    || call.waiting()
                    || call.attempts.size() >= call.tryLimit) {
                return false;
            }
            Attempt doubt = firstDoubt(call);
            return doubt == null
                    || switch (call.kind.idempotency()) {
                        case IDEMPOTENT -> true;
                        case NON_IDEMPOTENT -> false;
                        // One quantum is kept back: the send takes effect at the end of this batch.
                        case IDEMPOTENCY_KEY ->
                            now + settings.clockResolutionNanos() < doubt.sentAt + call.kind.keyTtlNanos();
                    };
        }

        /** Whether the next attempt, if there may be one, may go to this server. */
        boolean mayGoTo(Call call, Server server) {
            for (Attempt attempt : call.attempts) {
                if (attempt.server == server) {
                    return false;
                }
            }
            Attempt doubt = firstDoubt(call);
            if (doubt == null || call.kind.idempotency() != Idempotency.IDEMPOTENCY_KEY) {
                return true;
            }
            EndpointInfo first = doubt.server.entry;
            return switch (call.kind.keyScope()) {
                case ALL -> true;
                case ZONE -> first.zone() == server.entry.zone();
                case CELL -> first.cell() == server.entry.cell();
            };
        }

        /** The one place that sends. */
        void send(long now, Call call, Server server) {
            Attempt attempt = new Attempt(server, now);
            call.attempts.add(attempt);
            call.held = false;
            call.asked = false;
            call.looked = List.of();
            health.sent(now, server);
            server.coldTokens -= roster.work(call);
            if (call.arriving) {
                call.stopClock();
            } else {
                takeOff(now, attempt, call);
            }
            // Work past its objective is given up only where load probes show what an endpoint has in hand.
            boolean worthless = reports.looks() && call.kind.lateFraction() == 0 && call.aimAt > now;
            actions.forward(call.request.id(), server.entry.id(), worthless ? call.aimAt - now : 0);
        }

        void outcome(long now, long id, int number, Outcome outcome, boolean ended) {
            Call call = calls.get(id);
            if (call == null || number >= call.attempts.size() || !call.attempts.get(number).out) {
                return;
            }
            Attempt attempt = call.attempts.get(number);
            attempt.out = false;
            attempt.server.streams -= attempt.stream ? 1 : 0;
            attempt.mayHaveRun = !outcome.provesNeverRan();
            settle(now, attempt, outcome, call);
            if (ended || call.closed) {
                close(call);
                return;
            }
            if (call.arriving) {
                startClock(now, call);
            }
            if (mayTryAgain(now, call)
                    && roster.ready.stream().anyMatch(next -> mayGoTo(call, next))
                    && admission.worthRetry(now, call)) {
                admission.admit(now, call);
            } else {
                answer(call);
            }
        }

        /** Gives the final answer: refused where a client's retry is known to be harmless, else failed. */
        void answer(Call call) {
            if (call.closed) {
                return;
            }
            boolean harmless = firstDoubt(call) == null
                    || call.kind.idempotency() == Idempotency.IDEMPOTENT
                    || (call.kind.idempotency() == Idempotency.IDEMPOTENCY_KEY && call.kind.keyScope() == KeyScope.ALL);
            if (harmless) {
                actions.reject(call.request.id(), admission.stayAway(call));
            } else {
                actions.fail(call.request.id());
            }
            close(call);
        }

        /** Nothing is sent for a closed request; its outstanding attempt still counts as in flight. */
        void close(Call call) {
            if (!call.closed
                    && call.waiting()
                    && !call.streaming
                    && settings.capabilities().cancellation()) {
                actions.cancelAttempt(call.request.id(), call.attempts.size() - 1);
            }
            call.closed = true;
            call.held = false;
            if (!call.waiting()) {
                calls.remove(call.request.id());
            }
        }
    }

    /** The list, the subscription to it, and the budget of cold servers. */
    private final class Roster {
        private final TreeMap<Long, Server> servers = new TreeMap<>();
        private List<Server> ready = List.of();
        private boolean listed;
        /** Work of the requests that came, whatever became of them. */
        private final DecayingSum offered = new DecayingSum(settings.limits().overloadWindowNanos(), 0);

        private long retryWait; // with jitter: the calls of many sidecars fail together
        private long asked;

        void retuned(long now) {
            retryWait = 0; // may name another discovery, whose news counts as told within seconds
            offered.setWindow(now, settings.limits().overloadWindowNanos());
        }

        void follow(long now) {
            if (settings.discoveryMode() == DiscoveryMode.SUBSCRIBE) {
                actions.watchEndpoints(true);
                followAgain(now + settings.limits().pollIntervalNanos() / 2);
            }
        }

        private void followAgain(long at) {
            long mine = ++asked;
            alarms.schedule(at, now -> {
                if (mine == asked) {
                    follow(now);
                }
            });
        }

        void listChanged(long now, UpdateKind kind, List<EndpointInfo> entries) {
            if (kind == UpdateKind.FAILED) {
                long next = Math.max(retryWait * 2, settings.limits().pollIntervalNanos() / 40);
                long longest = Math.min(NEWS_TIME / 4, settings.limits().pollIntervalNanos() / 2);
                retryWait = Math.max(settings.clockResolutionNanos(), Math.min(next, longest));
                followAgain(now + retryWait / 2 + random.nextLong(retryWait / 2 + 1));
                return;
            }
            if (kind != UpdateKind.CACHED) {
                asked++;
                retryWait = 0;
            }
            Set<Long> missing = new TreeSet<>(kind == UpdateKind.DELTA ? Set.of() : servers.keySet());
            boolean changed = false;
            for (EndpointInfo entry : entries) {
                missing.remove(entry.id());
                changed |= update(now, entry);
            }
            for (long id : missing) {
                Server server = servers.get(id);
                changed |= server.entry.status() == EndpointStatus.READY;
                server.entry = server.entry.asRemoved();
            }
            listed = true;
            if (changed) {
                ready = servers.values().stream()
                        .filter(s -> s.entry.status() == EndpointStatus.READY)
                        .toList();
                pattern.redraw(ready);
            }
        }

        /** Takes one line over; true if the set of ready servers changed. */
        private boolean update(long now, EndpointInfo entry) {
            Server server = servers.get(entry.id());
            boolean wasReady = server != null && server.entry.status() == EndpointStatus.READY;
            // A restarted process shares nothing with the one before: not its load, nor its faults.
            boolean fresh = server == null || entry.startedAtNanos() > server.entry.startedAtNanos();
            if (fresh) {
                long since = entry.startedAtNanos() == 0 && listed ? now : entry.startedAtNanos();
                server = new Server(entry, now);
                server.credit = random.nextDouble();
                servers.put(entry.id(), server);
                if (since > 0 && now < since + settings.limits().slowStartNanos()) {
                    server.coldUntil = since + settings.limits().slowStartNanos();
                }
            }
            server.entry = entry;
            return fresh || wasReady != (entry.status() == EndpointStatus.READY);
        }

        /** A token bucket: this sidecar's fraction of what a warming endpoint can do now. */
        boolean coldRoom(long now, Server server, Call call) {
            if (now >= server.coldUntil) {
                return true;
            }
            double rate = forEach(now) * capacity(now, server);
            if (!server.coldMet) {
                // A random debt: free first requests of many sidecars would come together.
                server.coldMet = true;
                server.coldTokens =
                        ready.stream().allMatch(other -> now < other.coldUntil) ? 0 : -random.nextDouble() * work(call);
            }
            double depth = rate * settings.limits().overloadWindowNanos() / 2;
            server.coldTokens = Math.min(depth, server.coldTokens + rate * (now - server.coldAt));
            server.coldAt = now;
            return server.coldTokens >= 0 && server.holds() <= 1 + server.limit / 2;
        }

        /** The part of its full capacity that a server has now, at the least. */
        private double capacity(long now, Server server) {
            if (now >= server.coldUntil) {
                return 1;
            }
            double warm =
                    1 - (server.coldUntil - now) / (double) settings.limits().slowStartNanos();
            double cold = settings.limits().coldCapacityFraction();
            return cold + (1 - cold) * Math.max(0, Math.min(1, warm));
        }

        /** Work a nanosecond that is asked of this sidecar for each warm server's worth of capacity. */
        private double forEach(long now) {
            double capacity =
                    ready.stream().mapToDouble(server -> capacity(now, server)).sum();
            return capacity == 0 ? 0 : offered.rate(now) / capacity;
        }

        double work(Call call) {
            return call.request.costHintNanos() > 0 ? call.request.costHintNanos() : call.expected;
        }
    }

    /** Usual time to an answer of one class, and its growth with the hinted cost by least squares. */
    private static final class Usual {
        /** About the last 50 answers. */
        private static final double NEW = 0.02;

        double mean;
        private long seen;
        private double cost;
        private double square;
        private double cross;

        Usual(double first) {
            mean = first;
        }

        void learn(double took, double hint) {
            // Cut at three times the expected: one slow server must not become what is usual.
            double time = Math.min(took, 3 * expected(hint));
            double part = Math.max(NEW, 1.0 / ++seen);
            mean += part * (time - mean);
            cost += part * (hint - cost);
            square += part * (hint * hint - square);
            cross += part * (time * hint - cross);
        }

        double expected(double hint) {
            double spread = square - cost * cost;
            if (hint <= 0 || spread <= 0) {
                return mean;
            }
            double slope = Math.max(0, (cross - mean * cost) / spread);
            return Math.max(mean / 4, mean + slope * (hint - cost));
        }
    }

    /** What servers of one kind take to answer, in parts of what the class usually takes on any. */
    private static final class Pace {
        private double mean = 1;
        private double seen = 2;

        void learn(double ratio) {
            seen++;
            mean += Math.max(0.03, 1 / seen) * (Math.min(ratio, 4) - mean);
        }
    }

    /** Evidence about each server, from this sidecar's own attempts. */
    private final class Health {
        /** Part of the aim: a kind that takes no more is far from its limit and takes every turn. */
        private static final double EASY = 0.25;

        private static final double STEEP = 4;
        /** So that what is held against a server is looked at again. */
        private static final double LEAST = 0.1;

        private final Map<Integer, Pace> paces = new TreeMap<>();
        private double fastest = 1;

        Pace pace(Server server) {
            return paces.computeIfAbsent(server.entry.machineKind(), kind -> new Pace());
        }

        /** The fraction of its turns that an endpoint takes: fewer where its machine kind is slow. */
        double turnShare(Server server, Call call) {
            double pace = (server.exposure + 2 * pace(server).mean) / (server.heard + 2);
            return server.nextTrial > 0 || pace * call.expected < EASY * call.aim
                    ? 1
                    : Math.max(LEAST, Math.min(1, Math.pow(fastest / pace, STEEP)));
        }

        private void learnPace(Server server, double ratio) {
            pace(server).learn(ratio);
            fastest =
                    paces.values().stream().mapToDouble(pace -> pace.mean).min().orElse(1);
        }

        /** A part of the aim: a server expected to take longer is of no use to the class. */
        private static final double USELESS = 0.75;
        /** Machines of one fleet differ about twofold from their mean; beyond that it is a fault. */
        private static final double SLOW = 2;
        /** Of each class, over all servers, starting from a tenth of its aim. */
        private final List<Usual> usual = new ArrayList<>();

        private long firstBackoff;

        Health() {
            retuned();
        }

        /** What is known of a class stays; one that is new starts like any other. */
        void retuned() {
            for (int i = usual.size(); i < settings.requestClasses().size(); i++) {
                usual.add(new Usual(settings.requestClasses().get(i).latencyObjectiveNanos() / 10.0));
            }
            firstBackoff = settings.requestClasses().stream()
                    .mapToLong(RequestClass::latencyObjectiveNanos)
                    .min()
                    .orElse(1);
        }

        private void integrate(long now, Server server) {
            server.exposure += server.load * (now - server.integratedAt);
            server.integratedAt = now;
        }

        void loaded(long now, Server server, Call call) {
            integrate(now, server);
            server.load += 1 / call.expected;
        }

        void sent(long now, Server server) {
            if (server.nextTrial > 0) {
                backOff(now, server);
            }
        }

        private void backOff(long now, Server server) {
            server.vouched = false;
            server.backoff = Math.min(server.backoff * 2, firstBackoff * 8);
            server.nextTrial = now + server.backoff;
        }

        /** An answered probe lets one request try the server; any other end puts the next trial off. */
        void told(long now, Server server, Outcome outcome) {
            if (!server.asked) {
                return;
            }
            server.asked = false;
            // One in six is believed all the same: who serves may know no probes.
            server.vouched = outcome == Outcome.OK || ++server.unanswered % 6 == 0;
            if (!server.vouched) {
                backOff(now, server);
            }
        }

        boolean open(long now, Server server, Call call) {
            integrate(now, server);
            if (!shut(server, current(server), call.expected, call.aim)) {
                server.nextTrial = 0;
                server.vouched = false;
                return true;
            }
            if (server.nextTrial == 0) {
                server.backoff = firstBackoff;
                server.nextTrial = now + server.backoff;
            }
            return now >= server.nextTrial && vouched(server);
        }

        /** Where health checks are allowed, one goes ahead of the request that tries an ejected endpoint. */
        private boolean vouched(Server server) {
            if (!settings.capabilities().healthChecks() || server.vouched) {
                return true;
            }
            if (!server.asked) {
                server.asked = true;
                actions.sendHealthCheck(server.entry.id());
            }
            return false;
        }

        private boolean shut(Server server, double slow, double expected, double aim) {
            return server.connectFailures > 0 || (slow > SLOW && slow * expected > USELESS * aim);
        }

        /** For operators: whether every class avoids it, but for trials. */
        boolean shutToAll(long now, Server server) {
            double exposure = server.exposure + server.load * (now - server.integratedAt);
            for (int i = 0; i < usual.size(); i++) {
                double aim = settings.requestClasses().get(i).latencyObjectiveNanos();
                if (!shut(server, slowness(server, exposure), usual.get(i).mean, aim)) {
                    return false;
                }
            }
            return true;
        }

        /** How many times slower than usual it answers; two answers are taken for granted. */
        private double current(Server server) {
            return slowness(server, server.exposure);
        }

        private double slowness(Server server, double exposure) {
            return (exposure + 2) / (server.heard + 2);
        }

        void ended(long now, Attempt attempt, Outcome outcome, Call call) {
            Server server = attempt.server;
            integrate(now, server);
            if (attempt.inFlight) {
                server.load = server.inFlight == 0 ? 0 : Math.max(0, server.load - 1 / call.expected);
            }
            switch (outcome) {
                case OK -> {
                    long took = now - attempt.wholeAt;
                    reports.learn(attempt, took);
                    learnPace(server, took / call.expected);
                    usual.get(call.request.requestClass()).learn(took, call.request.costHintNanos());
                    boolean quick = took / call.expected < current(server) / 2;
                    heard(server, quick || server.nextTrial > 0 ? 0.5 : 0.9);
                    if (server.nextTrial > 0 && took < call.aim) {
                        // A trial that went well: the next may follow at once.
                        server.nextTrial = now;
                        server.backoff = firstBackoff;
                        server.vouched = true;
                    }
                }
                case ERROR, RESET -> {
                    // As bad as an answer at twice the objective: two in a row eject, one does not.
                    heard(server, server.nextTrial > 0 ? 0.5 : 0.9);
                    server.exposure += 2 * call.aim / call.expected;
                }
                case CONNECT_FAILED -> server.connectFailures++;
                default -> {}
            }
        }

        /** Keeps less of the evidence where a trial, or an answer that is far quicker, speaks against it. */
        private void heard(Server server, double keep) {
            server.exposure *= keep;
            server.heard = server.heard * keep + 1;
            server.connectFailures = 0;
        }
    }

    /** One tenant's held work and what it has had lately of its quota. */
    private static final class Share {
        /** Newest first: under overload some wait in vain and the rest are in time. */
        private final ArrayDeque<Call> held = new ArrayDeque<>();

        private final double quota;
        private final DecayingSum spent;
        private long skippedAt;

        Share(double quota, double window) {
            this.quota = quota;
            this.spent = new DecayingSum(window, 0);
        }

        double used(long now) {
            return spent.value(now) / quota;
        }
    }

    /** Learned concurrency limits, held work, refusals, and the budget of further attempts. */
    private final class Admission {
        /** Room for two-choice to act; many sidecars start together, so no more before anything is known. */
        static final double FIRST_LIMIT = 2;
        /** Part of the aim: what takes longer leaves no time for a second try with its own delays. */
        private static final double LATE = 0.4;
        /** Enough that a jam of later tries does not unseat the first ones at once. */
        private static final int MANY_VOTES = 100;
        /** Four in five in time is sound enough: the rest is chance and single faults. */
        private static final double ENOUGH = 1.25;

        private final Share[] shares = new Share[Math.max(1, settings.tenants().size())];
        private int held;
        private long drains;
        private long[] firstLeft = new long[settings.requestClasses().size()];
        private int[] firstVotes = new int[settings.requestClasses().size()];
        /** Over eight aims: ten attempts at a few requests a second; one is taken for good at first. */
        private final DecayingSum tried = new DecayingSum(8.0 * health.firstBackoff, 1);
        /** In good time: what the servers are to be held to, well before they are late. */
        private static final double GOOD = 0.3;
        /** Part of the room that every class may use. */
        private static final double UNRESERVED = 0.6;

        private static final double NEARLY = 1.5;
        private static final double LATELY = 2;
        /** In the order of their start; {@code out} counts them until they end, or are out for an aim. */
        private final ArrayDeque<Attempt> flying = new ArrayDeque<>();

        private int out;
        /** Good times of the requests that came; times of the answers, in good times; and their number. */
        private final DecayingSum wanted = new DecayingSum(LATELY * health.firstBackoff, 0);

        private final DecayingSum times = new DecayingSum(LATELY * health.firstBackoff, 0);
        private final DecayingSum answers = new DecayingSum(LATELY * health.firstBackoff, 0);
        private final DecayingSum inTime = new DecayingSum(8.0 * health.firstBackoff, 1);

        Admission() {
            for (int i = 0; i < shares.length; i++) {
                double quota = settings.tenants().isEmpty()
                        ? 1
                        : settings.tenants().get(i).quotaPerSecond();
                // Four aims: long against answers, short against a burst of some seconds.
                shares[i] = new Share(
                        quota > 0 ? quota : 1,
                        4.0 * settings.requestClasses().get(0).latencyObjectiveNanos());
            }
        }

        void retuned(long now) {
            firstLeft = Arrays.copyOf(firstLeft, settings.requestClasses().size());
            firstVotes = Arrays.copyOf(firstVotes, settings.requestClasses().size());
            tried.setWindow(now, 8.0 * health.firstBackoff);
            inTime.setWindow(now, 8.0 * health.firstBackoff);
            List.of(wanted, times, answers).forEach(sum -> sum.setWindow(now, LATELY * health.firstBackoff));
        }

        /** Time the client has spent on earlier tries: the commonest time left marks the first ones. */
        long elapsed(Request request) {
            int kind = request.requestClass();
            long left = request.timeLeftNanos();
            if (Math.abs(left - firstLeft[kind]) <= 2 * settings.clockResolutionNanos()) {
                firstVotes[kind] = Math.min(firstVotes[kind] + 1, MANY_VOTES);
                return 0;
            }
            if (--firstVotes[kind] < 0) {
                firstLeft[kind] = left;
                firstVotes[kind] = 0;
                return 0;
            }
            return Math.max(0, settings.requestClasses().get(kind).deadlineNanos() - left);
        }

        /** Sends a request now, or holds it while it can still be answered within its aim. */
        void admit(long now, Call call) {
            if (now >= call.deadline || roster.ready.isEmpty()) {
                ledger.answer(call);
                return;
            }
            int ease = call.request.clientRetry() ? 3 : 1;
            if (call.attempts.isEmpty() && !call.asked && random.nextDouble() < ease * shedding(now)) {
                ledger.answer(call);
                return;
            }
            if (reports.ask(now, call)) {
                return;
            }
            if (call.attempts.isEmpty() && now + Math.min(call.expected, call.aim) / 2 >= call.aimAt) {
                ledger.answer(call); // a client's later try that can hardly be in time
            } else if (held > 0 || !place(now, call)) {
                call.held = true;
                share(call).held.push(call);
                held++;
                endWhenHopeless(now, call);
                drain(now);
            }
        }

        void endWhenHopeless(long now, Call call) {
            alarms.schedule(Math.max(now + 1, call.hopelessAt()), at -> {
                if (call.held && at >= call.hopelessAt()) {
                    ledger.answer(call);
                }
            });
        }

        /** The fraction of new requests to shed: none while four in five attempts were in time. */
        private double shedding(long now) {
            double borne = Math.min(1, ENOUGH * (inTime.value(now) + 1) / (tried.value(now) + 1));
            return 1 - borne * borne * borne;
        }

        private Share share(Call call) {
            return shares[Math.min(call.request.tenant(), shares.length - 1)];
        }

        /** Whether the limit on all in-flight requests, by Little's law, is reached. */
        private boolean full(long now, Call call) {
            double slower = (times.value(now) + 1) / (answers.value(now) + 1);
            double room = wanted.rate(now) / Math.max(1, slower);
            while (!flying.isEmpty() && (flying.peek().settled || now - flying.peek().wholeAt > health.firstBackoff)) {
                landed(flying.poll());
            }
            return out >= (1 + room + Math.sqrt(room)) * (dear(call) ? 1 : UNRESERVED);
        }

        /** Whether no class is worth far more for the time that it takes. */
        private boolean dear(Call call) {
            double mine = NEARLY * worth(call.request.requestClass());
            for (int i = 0; i < health.usual.size(); i++) {
                if (worth(i) > mine) {
                    return false;
                }
            }
            return true;
        }

        private double worth(int kind) {
            double worth = settings.requestClasses().get(kind).priorityWeight();
            return settings.weightByWork() ? worth : worth / health.usual.get(kind).mean;
        }

        /** The newest that is held or, where there is no room for such, the newest that is dear. */
        private Call next(long now, Share share) {
            Call newest = share.held.peek();
            return !newest.held || !full(now, newest)
                    ? newest
                    : share.held.stream().filter(this::dear).findFirst().orElse(newest);
        }

        void tookOff(Attempt attempt) {
            flying.add(attempt);
            attempt.counted = true;
            out++;
        }

        void landed(Attempt attempt) {
            out -= attempt.counted ? 1 : 0;
            attempt.counted = false;
        }

        private boolean place(long now, Call call) {
            if (full(now, call)) {
                return false;
            }
            Server server = pattern.pick(now, call, false);
            // A fault common to all endpoints ejects none.
            if (server == null && roster.ready.stream().noneMatch(any -> health.open(now, any, call))) {
                server = pattern.pick(now, call, true);
            }
            if (server == null) {
                return false;
            }
            ledger.send(now, call, server);
            share(call).spent.add(now, call.expected);
            return true;
        }

        /** Gives freed room to held work, of the tenant that had the least of its quota first. */
        void drain(long now) {
            drains++;
            while (held > 0) {
                Share poorest = null;
                for (Share share : shares) {
                    if (!share.held.isEmpty()
                            && share.skippedAt != drains
                            && (poorest == null || share.used(now) < poorest.used(now))) {
                        poorest = share;
                    }
                }
                if (poorest == null) {
                    return;
                }
                Call call = next(now, poorest);
                if (call.held && !place(now, call)) {
                    poorest.skippedAt = drains;
                } else {
                    poorest.held.remove(call);
                    held--;
                }
            }
        }

        void ended(long now, Attempt attempt, Outcome outcome, Call call) {
            Server server = attempt.server;
            tried.add(now, outcome.withdrawn() && now <= call.aimAt ? 0 : 1);
            inTime.add(now, outcome == Outcome.OK && now <= call.aimAt ? 1 : 0);
            if (!attempt.inFlight) {
                return;
            }
            if (outcome == Outcome.OK) {
                answers.add(now, 1);
                times.add(now, (now - attempt.wholeAt) / (GOOD * call.aim));
            }
            Usual usual = health.usual.get(call.request.requestClass());
            double scaled = (now - attempt.wholeAt) * usual.mean / call.expected;
            if (outcome == Outcome.REJECTED || scaled > LATE * call.aim) {
                if (attempt.sentAt >= server.lastCut) {
                    server.limit = Math.max(0.1, server.limit * 0.8);
                    server.lastCut = now;
                }
            } else if (outcome == Outcome.OK && attempt.crowd + 1 >= server.limit / 2) {
                server.limit += Math.min(0.2 * server.limit, 1 / server.limit); // one a round trip
            }
        }

        /** Under overload a further attempt takes the place of a first one. */
        boolean worthRetry(long now, Call call) {
            return now < call.aimAt && shedding(now) < 0.8;
        }

        long stayAway(Call call) {
            return settings.capabilities().retryAfter()
                    ? Math.min(settings.capabilities().maxRetryAfterNanos(), call.aim / 2)
                    : 0;
        }
    }

    /** Load probes before a send, where probes are cheap and report the requests in hand. */
    private final class Reports {
        /** So many that most of them are seldom all busy. */
        private static final int ASKED = 5;
        /** Part of all worth that looking may be charged. */
        private static final double CHEAP = 0.01;
        /** Part of the aim that a look may take; a healthy upstream answers beside its queue at once. */
        private static final int PATIENCE = 20;

        private int field;
        private boolean pays;
        /** Part of the aim that an upstream's work in hand may take up; the rest is for its spread. */
        private static final double FULL = 0.6;

        private double usual;
        private double turnTime;

        Reports() {
            retuned();
        }

        void retuned() {
            field = settings.loadReportFields().indexOf("rif");
            pays = field >= 0
                    && settings.capabilities().healthChecks()
                    && settings.costs().healthCheck() * ASKED <= CHEAP;
        }

        /** With no more sidecars than upstreams, own counts show enough of what an upstream holds. */
        boolean looks() {
            return pays && settings.instanceCount() > roster.ready.size();
        }

        /** Asks the entries next in turn; true if the request waits for what they tell. */
        boolean ask(long now, Call call) {
            if (!looks() || call.asked) {
                return false;
            }
            call.asked = true;
            call.looked = pattern.ahead(now, call, ASKED);
            for (Server server : call.looked) {
                server.holds = Double.MAX_VALUE;
                server.askers.add(call);
                actions.sendHealthCheck(server.entry.id());
            }
            call.pending = call.looked.size();
            alarms.schedule(now + call.aim / PATIENCE, at -> decide(at, call, call.pending));
            return call.pending > 0;
        }

        void told(long now, Server server, Outcome outcome, float[] load) {
            if (outcome == Outcome.OK && load.length > field && field >= 0) {
                server.holds = load[field];
                usual += 0.05 * (server.holds - usual);
            }
            List<Call> askers = List.copyOf(server.askers);
            server.askers.clear();
            askers.forEach(call -> decide(now, call, 1));
        }

        /** All told or out of patience: sets the bar that shuts the crowded ones, and goes on. */
        private void decide(long now, Call call, int answers) {
            if (call.pending == 0) {
                return;
            }
            call.pending -= answers;
            if (call.pending > 0 || call.closed) {
                return;
            }
            double least =
                    call.looked.stream().mapToDouble(each -> each.holds).min().orElse(Double.MAX_VALUE);
            double full = FULL * call.aim / Math.max(1, turnTime) - 1;
            if (least == Double.MAX_VALUE) {
                call.looked = List.of();
            } else if (least > Math.max(usual, full)) {
                ledger.answer(call);
                return;
            }
            call.bar = least <= usual ? usual : full;
            admission.admit(now, call);
        }

        /** What an answer took for each request that the upstream had in hand, this one included. */
        void learn(Attempt attempt, double took) {
            if (attempt.found < Double.MAX_VALUE) {
                double each = took / (attempt.found + 1);
                turnTime += (turnTime == 0 ? 1 : 0.05) * (each - turnTime);
            }
        }

        boolean crowded(Server server, Call call) {
            return !call.looked.isEmpty() && (server.holds > call.bar || !call.looked.contains(server));
        }
    }
}
