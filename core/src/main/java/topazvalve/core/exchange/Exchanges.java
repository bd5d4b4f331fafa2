package topazvalve.core.exchange;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.classes.ClassTable;
import topazvalve.core.metrics.ClassCounts;
import topazvalve.core.metrics.Metrics;
import topazvalve.core.pool.Attempt;
import topazvalve.core.pool.AttemptListener;
import topazvalve.core.pool.Back;
import topazvalve.core.servers.ServerList;
import topazvalve.core.servers.Target;
import topazvalve.core.stream.Source;
import topazvalve.core.time.Time;
import topazvalve.decisions.Balancer;
import topazvalve.decisions.Balancer.ListKind;
import topazvalve.decisions.Balancer.Outcome;
import topazvalve.decisions.Balancer.Request;
import topazvalve.decisions.Balancer.State;
import topazvalve.decisions.Balancer.Upstream;
import topazvalve.decisions.Options;

/**
 * The only caller of the decision module: tells it events one after the other, on the event loop, and carries
 * out what it orders. Whatever the module and the back do, an exchange gets one final answer and an attempt
 * one outcome.
 */
public final class Exchanges<Q, A> implements Intake<Q, A>, Balancer.Actions, Metrics.Gauges, ServerList.Listener {
    private static final Logger MODULE = LoggerFactory.getLogger("module");
    /** What of a client's wait is kept for the answer's way back; the module does not know of it. */
    private static final long ANSWER_ROOM = 10_000_000;

    /** Makes the decision module, which gives its orders to {@code actions}. */
    public interface ModuleMaker {
        Balancer make(Balancer.Settings settings, Balancer.Actions actions);
    }

    private final Time time;
    private final Back<Q, A> back;
    private final int mostOpen;
    private final Metrics metrics;
    private final ClassTable classes;
    private final Balancer module;
    private final Map<Long, Exchange<Q, A>> exchanges = new HashMap<>();
    private final ServerNumbers numbers = new ServerNumbers();
    private final EventQueue events;
    private ServerList servers;
    private int tryLimit;
    private long lastId;

    /** Holds at most {@code mostOpen} exchanges; more are refused at once. */
    public Exchanges(
            Time time,
            Options options,
            ModuleMaker maker,
            Back<Q, A> back,
            int mostOpen,
            Metrics metrics,
            ClassTable classes) {
        this.time = time;
        this.events = new EventQueue(time);
        this.back = back;
        this.mostOpen = mostOpen;
        this.metrics = metrics;
        this.classes = classes;
        this.module = maker.make(take(options), this);
    }

    /** Takes settings over; returns them as the module is to know them, with the table's numbers. */
    private Balancer.Settings take(Options options) {
        Balancer.Settings settings = options.settings();
        List<String> names = options.names("profiles");
        classes.take(names, settings.classes());
        metrics.show(names);
        tryLimit = settings.allowed().tryLimit();
        numbers.take(options);
        return settings.with(classes.rules());
    }

    /** Begins with the cached list; on the loop, like all that follows. */
    public void start(ServerList list, List<Target> known) {
        servers = list;
        tell(module::start);
        listed(ListKind.CACHED, known);
    }

    /** Holds no more connections and follows no list; what is open is answered as it would be. */
    public void stop() {
        if (servers != null) {
            servers.close();
        }
        back.close();
    }

    /** Takes new settings over; exchanges that are open keep the class and try limit they came under. */
    public void retune(Options options) {
        Balancer.Settings settings = take(options);
        back.retune(options);
        tell(now -> module.retuned(now, settings));
    }

    private void tell(LongConsumer event) {
        events.add(event);
    }

    @Override
    public void listed(ListKind kind, List<Target> targets) {
        List<Upstream> entries = new ArrayList<>(targets.size());
        Map<Long, Target> named = new HashMap<>();
        for (Target target : targets) {
            Upstream entry = numbers.upstream(target);
            named.put(entry.id(), target);
            entries.add(entry);
        }
        tell(now -> {
            named.forEach((id, target) -> {
                if (target.state() == State.GONE) {
                    back.gone(id);
                } else {
                    back.listed(id, target.endpoint(), target.startedMs(), target.state() == State.READY);
                }
            });
            if (kind == ListKind.FULL) {
                for (long id : numbers.all()) {
                    if (!named.containsKey(id)) {
                        back.gone(id);
                    }
                }
            }
            module.listChanged(now, kind, entries);
        });
    }

    @Override
    public long submit(Job<Q> job, Client<A> client) {
        ClassCounts counts = metrics.of(job.requestClass().name());
        if (exchanges.size() >= mostOpen || job.waitMs() <= 0) {
            counts.refused();
            client.refused(0);
            return 0;
        }
        long id = ++lastId;
        Exchange<Q, A> exchange = new Exchange<>(id, job, client, counts, tryLimit);
        exchanges.put(id, exchange);
        job.body().onProgress(() -> whole(exchange), () -> tell(now -> module.unrepeatable(now, id)));
        Request request = new Request(
                id,
                job.requestClass().number(),
                job.tenant(),
                job.key(),
                wait(exchange),
                job.costHint(),
                job.clientRetry(),
                job.write());
        boolean whole = job.body().whole();
        if (whole) {
            startClock(exchange);
        }
        tell(now -> {
            if (!exchange.open()) {
                return; // over before the module has heard of it
            }
            exchange.told();
            if (whole) {
                module.request(now, request);
            } else {
                // The client's time begins with the last byte of its body.
                module.requestBegun(now, request);
            }
        });
        return id;
    }

    private long wait(Exchange<Q, A> exchange) {
        return Math.max(1, exchange.job.waitMs() * 1_000_000 - ANSWER_ROOM);
    }

    private void startClock(Exchange<Q, A> exchange) {
        long wait = wait(exchange);
        // The module answers by its own deadline; this holds for whatever it may have missed.
        exchange.startClock(time.now() + wait, time.after(wait + ANSWER_ROOM / 2, () -> {
            fail(exchange.id);
            giveUp(exchange);
        }));
    }

    private void whole(Exchange<Q, A> exchange) {
        startClock(exchange);
        exchange.sentAttempts().forEach(attempt -> attempt.limit(wait(exchange)));
        tell(now -> module.requestWhole(now, exchange.id));
    }

    @Override
    public void hangup(long id) {
        Exchange<Q, A> exchange = exchanges.get(id);
        if (exchange != null && exchange.open()) {
            answer(exchange, () -> {});
            giveUp(exchange);
            if (exchange.answering() != null) {
                exchange.answering().cancel();
            }
        }
    }

    /**
     * Nobody waits for it any more. What is not written yet is not sent on, also where the settings allow no
     * cancelling: that is about work a server has.
     */
    private void giveUp(Exchange<Q, A> exchange) {
        tell(now -> module.hangup(now, exchange.id));
        for (Attempt<Q, A> attempt : List.copyOf(exchange.sentAttempts())) {
            if (!attempt.written()) {
                attempt.cancel();
            }
        }
    }

    @Override
    public long active() {
        return exchanges.values().stream()
                .filter(each -> each.open() && each.job.body().whole())
                .count();
    }

    @Override
    public long poolSize() {
        return back.listed();
    }

    @Override
    public long poolEjected() {
        return module.avoided(time.now());
    }

    /** How many are known, answered ones with attempts still out among them. */
    int held() {
        return exchanges.size();
    }

    /** How many events could not be handled: each is a fault of this program. */
    long faults() {
        return events.faults();
    }

    /** Where each that is known is. */
    List<Phase> phases() {
        return exchanges.values().stream().map(Exchange::phase).toList();
    }

    /** The one final answer; after the first, nothing. */
    private void answer(Exchange<Q, A> exchange, Runnable words) {
        if (exchange.open()) {
            exchange.answered();
            words.run();
            forget(exchange);
        }
    }

    private void forget(Exchange<Q, A> exchange) {
        if (exchange.settled()) {
            exchanges.remove(exchange.id);
        }
    }

    @Override
    public void send(long request, long server, long timeout) {
        Exchange<Q, A> exchange = exchanges.get(request);
        if (exchange == null) {
            return;
        }
        long now = time.now();
        boolean may = exchange.maySend(now);
        int number = exchange.ordered();
        Out out = new Out(exchange, number, server, now);
        if (!may) {
            out.ended(Outcome.NEVER_SENT, null, Attempt.NO_LOAD);
            return;
        }
        long wait = Math.min(wait(exchange), exchange.left(now));
        exchange.sent(
                number,
                back.send(
                        server,
                        exchange.job.message(),
                        exchange.job.body(),
                        timeout > 0 ? Math.min(wait, timeout) : wait,
                        out));
    }

    /** An attempt that is out, and what becomes of it. */
    private final class Out implements AttemptListener<Q, A> {
        private final Exchange<Q, A> exchange;
        private final int number;
        private final long server;
        private final long sentAt;

        Out(Exchange<Q, A> exchange, int number, long server, long sentAt) {
            this.exchange = exchange;
            this.number = number;
            this.server = server;
            this.sentAt = sentAt;
        }

        @Override
        public void written() {
            exchange.counts.tried();
        }

        @Override
        public void begun(Attempt<Q, A> attempt, A first, long length, Source rest) {
            if (!exchange.begun(number)) {
                attempt.cancel();
                return;
            }
            tell(now -> module.firstByte(now, exchange.id, number, server, now - sentAt));
            exchange.client.begun(first, length, rest);
        }

        @Override
        public void more(ByteBuf bytes) {
            exchange.client.more(bytes);
        }

        @Override
        public void ended(Outcome outcome, A answer, float[] load) {
            // An answer that is there does not wait for what else is to be heard of. Danger: a fault on the
            // client's side that left out the rest would leave the attempt counted as in flight for good.
            events.handle(now -> pass(outcome, answer));
            tell(now -> {
                exchange.ended();
                module.outcome(now, exchange.id, number, server, outcome, now - sentAt, !exchange.open(), load);
                forget(exchange);
            });
        }

        /** Gives the client what this attempt has brought, if it is the one that answers. */
        private void pass(Outcome outcome, A answer) {
            boolean answers = exchange.answeredBy(number);
            if (answers && outcome == Outcome.OK) {
                answer(exchange, () -> {
                    exchange.counts.served();
                    exchange.client.finished();
                });
            } else if (answers) {
                answer(exchange, () -> {
                    exchange.counts.failed();
                    exchange.client.cut();
                });
            } else if (outcome == Outcome.OK && exchange.phase() == Phase.OUT) {
                answer(exchange, () -> {
                    exchange.counts.served();
                    exchange.client.served(answer);
                });
            }
        }
    }

    @Override
    public void refuse(long request, long wait) {
        turnDown(request, exchange -> {
            exchange.counts.refused();
            exchange.client.refused(wait);
        });
    }

    @Override
    public void fail(long request) {
        turnDown(request, exchange -> {
            exchange.counts.failed();
            exchange.client.failed();
        });
    }

    /** Not while an answer is being passed on: that answer's end is the client's. */
    private void turnDown(long request, Consumer<Exchange<Q, A>> words) {
        Exchange<Q, A> exchange = exchanges.get(request);
        if (exchange != null && exchange.phase() != Phase.ANSWERING) {
            answer(exchange, () -> words.accept(exchange));
        }
    }

    @Override
    public void cancel(long request, int attempt) {
        Exchange<Q, A> exchange = exchanges.get(request);
        if (exchange != null
                && attempt < exchange.attempts().size()
                && exchange.attempts().get(attempt) != null) {
            exchange.attempts().get(attempt).cancel();
        }
    }

    @Override
    public void timer(long token, long at) {
        time.after(Math.max(0, at - time.now()), () -> tell(now -> module.timer(now, token)));
    }

    @Override
    public void probe(long server) {
        long sentAt = time.now();
        back.probe(
                server,
                (outcome, answer, load) -> tell(now -> module.probeResult(now, server, outcome, now - sentAt, load)));
    }

    @Override
    public void closeIdle(long server) {
        back.closeIdle(server);
    }

    /** Sidecars of this kind share nothing; the module does not use peers. */
    @Override
    public void tell(int peer, byte[] message) {
        throw new UnsupportedOperationException("peers");
    }

    @Override
    public void log(String line) {
        MODULE.info("{}", line);
    }

    @Override
    public void subscribe(boolean on) {
        servers.watch(on);
    }

    @Override
    public void fetchList() {
        servers.fetch();
    }
}
