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
import topazvalve.core.endpoint.Endpoint;
import topazvalve.core.endpoint.EndpointDiscovery;
import topazvalve.core.metrics.ClassCounters;
import topazvalve.core.metrics.Metrics;
import topazvalve.core.pool.Attempt;
import topazvalve.core.pool.AttemptListener;
import topazvalve.core.pool.Backend;
import topazvalve.core.stream.FlowControl;
import topazvalve.core.time.Scheduler;
import topazvalve.policy.LoadBalancer;
import topazvalve.policy.LoadBalancer.EndpointInfo;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.policy.LoadBalancer.Outcome;
import topazvalve.policy.LoadBalancer.Request;
import topazvalve.policy.LoadBalancer.UpdateKind;
import topazvalve.policy.SettingsReader;

/**
 * The only caller of the decision module: tells it events one after the other, on the event loop, and carries
 * out what it orders. Whatever the module and the back do, an exchange gets one final answer and an attempt
 * one outcome.
 */
public final class ExchangeManager<Q, A>
        implements ExchangeHandler<Q, A>, LoadBalancer.Actions, Metrics.Gauges, EndpointDiscovery.Listener {
    private static final Logger MODULE = LoggerFactory.getLogger("module");
    /** What of a client's wait is kept for the answer's way back; the module does not know of it. */
    private static final long ANSWER_ROOM = 10_000_000;

    /** Makes the decision module, which gives its orders to {@code actions}. */
    public interface PolicyFactory {
        LoadBalancer create(LoadBalancer.Settings settings, LoadBalancer.Actions actions);
    }

    private final Scheduler time;
    private final Backend<Q, A> back;
    private final int mostOpen;
    private final Metrics metrics;
    private final ClassTable classes;
    private final LoadBalancer module;
    private final Map<Long, Exchange<Q, A>> exchanges = new HashMap<>();
    private final EndpointIds numbers = new EndpointIds();
    private final PolicyEventQueue events;
    private EndpointDiscovery servers;
    private int tryLimit;
    private long lastId;

    /** Holds at most {@code mostOpen} exchanges; more are refused at once. */
    public ExchangeManager(
            Scheduler time,
            SettingsReader options,
            PolicyFactory maker,
            Backend<Q, A> back,
            int mostOpen,
            Metrics metrics,
            ClassTable classes) {
        this.time = time;
        this.events = new PolicyEventQueue(time);
        this.back = back;
        this.mostOpen = mostOpen;
        this.metrics = metrics;
        this.classes = classes;
        this.module = maker.create(take(options), this);
    }

    /** Takes settings over; returns them as the module is to know them, with the table's numbers. */
    private LoadBalancer.Settings take(SettingsReader options) {
        LoadBalancer.Settings settings = options.settings();
        List<String> names = options.names("profiles");
        classes.update(names, settings.requestClasses());
        metrics.register(names);
        tryLimit = settings.capabilities().maxAttempts();
        numbers.take(options);
        return settings.withRequestClasses(classes.rules());
    }

    /** Begins with the cached list; on the loop, like all that follows. */
    public void start(EndpointDiscovery list, List<Endpoint> known) {
        servers = list;
        tell(module::start);
        endpointsUpdated(UpdateKind.CACHED, known);
    }

    /** Holds no more connections and follows no list; what is open is answered as it would be. */
    public void stop() {
        if (servers != null) {
            servers.close();
        }
        back.close();
    }

    /** Takes new settings over; exchanges that are open keep the class and try limit they came under. */
    public void settingsChanged(SettingsReader options) {
        LoadBalancer.Settings settings = take(options);
        back.settingsChanged(options);
        tell(now -> module.settingsChanged(now, settings));
    }

    private void tell(LongConsumer event) {
        events.add(event);
    }

    @Override
    public void endpointsUpdated(UpdateKind kind, List<Endpoint> targets) {
        List<EndpointInfo> entries = new ArrayList<>(targets.size());
        Map<Long, Endpoint> named = new HashMap<>();
        for (Endpoint target : targets) {
            EndpointInfo entry = numbers.upstream(target);
            named.put(entry.id(), target);
            entries.add(entry);
        }
        tell(now -> {
            named.forEach((id, target) -> {
                if (target.status() == EndpointStatus.REMOVED) {
                    back.endpointRemoved(id);
                } else {
                    back.endpointUpdated(
                            id, target.address(), target.startedAtMillis(), target.status() == EndpointStatus.READY);
                }
            });
            if (kind == UpdateKind.FULL) {
                for (long id : numbers.all()) {
                    if (!named.containsKey(id)) {
                        back.endpointRemoved(id);
                    }
                }
            }
            module.endpointsUpdated(now, kind, entries);
        });
    }

    @Override
    public long submit(ExchangeRequest<Q> job, ResponseListener<A> client) {
        ClassCounters counts = metrics.countersOf(job.requestClass().name());
        if (exchanges.size() >= mostOpen || job.timeoutMillis() <= 0) {
            counts.requestShed();
            client.rejected(0);
            return 0;
        }
        long id = ++lastId;
        Exchange<Q, A> exchange = new Exchange<>(id, job, client, counts, tryLimit);
        exchanges.put(id, exchange);
        job.body().onProgress(() -> whole(exchange), () -> tell(now -> module.bodyNotReplayable(now, id)));
        Request request = new Request(
                id,
                job.requestClass().number(),
                job.tenant(),
                job.resourceKey(),
                wait(exchange),
                job.costHintNanos(),
                job.clientRetry(),
                job.write());
        boolean whole = job.body().isComplete();
        if (whole) {
            startClock(exchange);
        }
        tell(now -> {
            if (!exchange.open()) {
                return; // over before the module has heard of it
            }
            exchange.told();
            if (whole) {
                module.requestReceived(now, request);
            } else {
                // The client's time begins with the last byte of its body.
                module.requestStarted(now, request);
            }
        });
        return id;
    }

    private long wait(Exchange<Q, A> exchange) {
        return Math.max(1, exchange.job.timeoutMillis() * 1_000_000 - ANSWER_ROOM);
    }

    private void startClock(Exchange<Q, A> exchange) {
        long wait = wait(exchange);
        // The module answers by its own deadline; this holds for whatever it may have missed.
        exchange.startClock(time.now() + wait, time.schedule(wait + ANSWER_ROOM / 2, () -> {
            fail(exchange.id);
            giveUp(exchange);
        }));
    }

    private void whole(Exchange<Q, A> exchange) {
        startClock(exchange);
        exchange.sentAttempts().forEach(attempt -> attempt.startTimeout(wait(exchange)));
        tell(now -> module.requestBodyCompleted(now, exchange.id));
    }

    @Override
    public void clientDisconnected(long id) {
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
        tell(now -> module.clientDisconnected(now, exchange.id));
        for (Attempt<Q, A> attempt : List.copyOf(exchange.sentAttempts())) {
            if (!attempt.isWritten()) {
                attempt.cancel();
            }
        }
    }

    @Override
    public long active() {
        return exchanges.values().stream()
                .filter(each -> each.open() && each.job.body().isComplete())
                .count();
    }

    @Override
    public long poolSize() {
        return back.endpointCount();
    }

    @Override
    public long poolEjected() {
        return module.ejectedCount(time.now());
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
    List<ExchangeState> phases() {
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
    public void forward(long request, long server, long timeout) {
        Exchange<Q, A> exchange = exchanges.get(request);
        if (exchange == null) {
            return;
        }
        long now = time.now();
        boolean may = exchange.maySend(now);
        int number = exchange.ordered();
        Out out = new Out(exchange, number, server, now);
        if (!may) {
            out.attemptCompleted(Outcome.NEVER_SENT, null, Attempt.NO_LOAD);
            return;
        }
        long wait = Math.min(wait(exchange), exchange.left(now));
        exchange.sent(
                number,
                back.startAttempt(
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
        public void requestWritten() {
            exchange.counts.attemptWritten();
        }

        @Override
        public void responseStarted(Attempt<Q, A> attempt, A first, long length, FlowControl rest) {
            if (!exchange.begun(number)) {
                attempt.cancel();
                return;
            }
            tell(now -> module.responseStarted(now, exchange.id, number, server, now - sentAt));
            exchange.client.responseStarted(first, length, rest);
        }

        @Override
        public void responseData(ByteBuf bytes) {
            exchange.client.responseData(bytes);
        }

        @Override
        public void attemptCompleted(Outcome outcome, A answer, float[] load) {
            // An answer that is there does not wait for what else is to be heard of. Danger: a fault on the
            // client's side that left out the rest would leave the attempt counted as in flight for good.
            events.handle(now -> pass(outcome, answer));
            tell(now -> {
                exchange.ended();
                module.attemptCompleted(
                        now, exchange.id, number, server, outcome, now - sentAt, !exchange.open(), load);
                forget(exchange);
            });
        }

        /** Gives the client what this attempt has brought, if it is the one that answers. */
        private void pass(Outcome outcome, A answer) {
            boolean answers = exchange.answeredBy(number);
            if (answers && outcome == Outcome.OK) {
                answer(exchange, () -> {
                    exchange.counts.requestServed();
                    exchange.client.responseCompleted();
                });
            } else if (answers) {
                answer(exchange, () -> {
                    exchange.counts.requestFailed();
                    exchange.client.responseAborted();
                });
            } else if (outcome == Outcome.OK && exchange.phase() == ExchangeState.OUT) {
                answer(exchange, () -> {
                    exchange.counts.requestServed();
                    exchange.client.responseReceived(answer);
                });
            }
        }
    }

    @Override
    public void reject(long request, long wait) {
        turnDown(request, exchange -> {
            exchange.counts.requestShed();
            exchange.client.rejected(wait);
        });
    }

    @Override
    public void fail(long request) {
        turnDown(request, exchange -> {
            exchange.counts.requestFailed();
            exchange.client.failed();
        });
    }

    /** Not while an answer is being passed on: that answer's end is the client's. */
    private void turnDown(long request, Consumer<Exchange<Q, A>> words) {
        Exchange<Q, A> exchange = exchanges.get(request);
        if (exchange != null && exchange.phase() != ExchangeState.ANSWERING) {
            answer(exchange, () -> words.accept(exchange));
        }
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        Exchange<Q, A> exchange = exchanges.get(request);
        if (exchange != null
                && attempt < exchange.attempts().size()
                && exchange.attempts().get(attempt) != null) {
            exchange.attempts().get(attempt).cancel();
        }
    }

    @Override
    public void setTimer(long token, long at) {
        time.schedule(Math.max(0, at - time.now()), () -> tell(now -> module.timerFired(now, token)));
    }

    @Override
    public void sendHealthCheck(long server) {
        long sentAt = time.now();
        back.sendHealthCheck(
                server,
                (outcome, answer, load) ->
                        tell(now -> module.healthCheckCompleted(now, server, outcome, now - sentAt, load)));
    }

    @Override
    public void closeIdleConnections(long server) {
        back.closeIdleConnections(server);
    }

    /** Sidecars of this kind share nothing; the module does not use peers. */
    @Override
    public void sendGossip(int peer, byte[] message) {
        throw new UnsupportedOperationException("peers");
    }

    @Override
    public void log(String line) {
        MODULE.info("{}", line);
    }

    @Override
    public void watchEndpoints(boolean on) {
        servers.watch(on);
    }

    @Override
    public void fetchEndpoints() {
        servers.fetch();
    }
}
