package topazvalve.sidecar.engine;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import topazvalve.decisions.Balancer;
import topazvalve.decisions.Balancer.ListKind;
import topazvalve.decisions.Balancer.Outcome;
import topazvalve.decisions.Balancer.Request;
import topazvalve.decisions.Balancer.State;
import topazvalve.decisions.Balancer.Upstream;
import topazvalve.decisions.Options;
import topazvalve.decisions.Rules;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.sidecar.classes.ClassTable;
import topazvalve.sidecar.config.Config;
import topazvalve.sidecar.discovery.Discovery;
import topazvalve.sidecar.discovery.Listing;
import topazvalve.sidecar.discovery.Target;
import topazvalve.sidecar.http.Answer;
import topazvalve.sidecar.upstream.Attempt;
import topazvalve.sidecar.upstream.AttemptListener;
import topazvalve.sidecar.upstream.Upstreams;
import topazvalve.sidecar.metrics.ClassCounts;
import topazvalve.sidecar.metrics.Metrics;
import topazvalve.sidecar.stream.Source;

/**
 * The only caller of the module: tells it events one after the other, on the event loop, and carries out what
 * it orders. Whatever module and upstreams do, a request gets one final answer and a send one outcome.
 */
public final class Engine implements Balancer.Actions, Metrics.Gauges {
    private static final Logger LOG = LoggerFactory.getLogger("engine");
    private static final Logger MODULE = LoggerFactory.getLogger("module");
    /** What of a client's wait is kept for the answer's way back; the module does not know of it. */
    private static final long ANSWER_ROOM = 10_000_000;

    private final EventLoop loop;
    private final Balancer rules;
    private final int mostOpen;
    private final Metrics metrics;
    private final ClassTable classes;
    private final Upstreams upstreams;
    private final Discovery discovery;
    private final Map<Long, Call> calls = new HashMap<>();
    private final Map<String, Long> upstreamIds = new HashMap<>();
    private final Map<String, Integer> zones = new HashMap<>();
    private final Map<String, Integer> kinds = new HashMap<>();
    private final ArrayDeque<LongConsumer> events = new ArrayDeque<>();
    private final long clockOffset = System.currentTimeMillis() * 1_000_000 - System.nanoTime();
    private int tryLimit;
    private boolean telling;
    private long lastId;

    public Engine(EventLoop loop, Config config, int mostOpen, Metrics metrics, ClassTable classes) {
        this.loop = loop;
        this.mostOpen = mostOpen;
        this.metrics = metrics;
        this.classes = classes;
        this.rules = new Rules(take(config.options()), config.seed(), this);
        this.upstreams = new Upstreams(loop, config.options(), config.mostUpstream());
        this.discovery = new Discovery(loop, config.discovery(), config.known().rev(), this::listed);
    }

    /** Takes settings over; returns them as the module is to know them, with the table's numbers. */
    private Balancer.Settings take(Options options) {
        Balancer.Settings settings = options.settings();
        List<String> names = options.names("profiles");
        classes.take(names, settings.classes());
        metrics.show(names);
        tryLimit = settings.allowed().tryLimit();
        options.list("zones").forEach(zone -> number(zones, zone));
        options.list("kinds").forEach(kind -> number(kinds, kind));
        return settings.with(classes.rules());
    }

    /** Begins with the cached list; on the loop, like all that follows. */
    public void start(Listing known) {
        tell(rules::start);
        listed(ListKind.CACHED, known.targets());
    }

    /** Holds no more connections; for one that never began. */
    public void stop() {
        upstreams.close();
    }

    /** Takes a new configuration over: the settings, and where discovery is. */
    public void reconfigure(Config config) {
        Balancer.Settings settings = take(config.options());
        upstreams.retune(config.options());
        tell(now -> rules.retuned(now, settings));
        discovery.move(config.discovery());
    }

    /** Nanoseconds since 1970 that never run back, so that start times in the list can be compared. */
    private long now() {
        return System.nanoTime() + clockOffset;
    }

    /** Tells the module one event; what happens meanwhile waits, since the module is never entered twice. */
    private void tell(LongConsumer event) {
        events.add(event);
        if (telling) {
            return;
        }
        telling = true;
        try {
            for (LongConsumer next = events.poll(); next != null; next = events.poll()) {
                try {
                    next.accept(now());
                } catch (RuntimeException e) {
                    LOG.error("event not handled", e);
                }
            }
        } finally {
            telling = false;
        }
    }

    private static int number(Map<String, Integer> numbers, String name) {
        return numbers.computeIfAbsent(name, added -> numbers.size());
    }

    private void listed(ListKind kind, List<Target> targets) {
        List<Upstream> entries = new ArrayList<>(targets.size());
        Map<Long, Target> named = new HashMap<>();
        for (Target target : targets) {
            long id = upstreamIds.computeIfAbsent(target.uid(), uid -> upstreamIds.size() + 1L);
            named.put(id, target);
            entries.add(new Upstream(id, number(zones, target.zone()), number(kinds, target.kind()),
                    target.cell(), target.state(), target.weight(), target.startedMs() * 1_000_000));
        }
        tell(now -> {
            named.forEach((id, target) -> {
                if (target.state() == State.GONE) {
                    upstreams.gone(id);
                } else {
                    upstreams.listed(id, target.endpoint(), target.startedMs(),
                            target.state() == State.READY);
                }
            });
            if (kind == ListKind.FULL) {
                upstreamIds.values().stream().filter(id -> !named.containsKey(id)).forEach(upstreams::gone);
            }
            rules.listChanged(now, kind, entries);
        });
    }

    /** Takes a request; returns the number under which {@link #hangup} knows it. */
    public long submit(Job job, Client client) {
        ClassCounts counts = metrics.of(job.requestClass().name());
        if (calls.size() >= mostOpen) {
            counts.refused();
            client.refused(0);
            return 0;
        }
        long id = ++lastId;
        Call call = new Call(job, client, counts, tryLimit);
        calls.put(id, call);
        job.body().onProgress(() -> whole(id, call), () -> tell(now -> rules.unrepeatable(now, id)));
        Request request = new Request(id, job.requestClass().number(), job.tenant(), job.key(), left(call),
                job.costHint(), job.clientRetry(), job.write());
        if (job.body().whole()) {
            startClock(id, call);
            tell(now -> rules.request(now, request));
        } else {
            // The client's time begins with the last byte of its body.
            call.deadline = Long.MAX_VALUE;
            tell(now -> rules.requestBegun(now, request));
        }
        return id;
    }

    private static long left(Call call) {
        return Math.max(1, call.job.waitMs() * 1_000_000 - ANSWER_ROOM);
    }

    private void startClock(long id, Call call) {
        call.deadline = now() + left(call);
        // The module answers by its own deadline; this holds for whatever it may have missed.
        call.timer = loop.schedule(() -> fail(id), left(call) + ANSWER_ROOM / 2, TimeUnit.NANOSECONDS);
    }

    private void whole(long id, Call call) {
        startClock(id, call);
        call.attempts.stream().filter(Objects::nonNull).forEach(attempt -> attempt.limit(left(call)));
        tell(now -> rules.requestWhole(now, id));
    }

    /** The client has gone away. An answer that has begun goes with it. */
    public void hangup(long id) {
        Call call = calls.get(id);
        if (call != null && !call.over) {
            finish(id, call, () -> { });
            tell(now -> rules.hangup(now, id));
            if (call.begun != null) {
                call.begun.cancel();
            }
        }
    }

    @Override
    public long active() {
        return calls.values().stream().filter(call -> !call.over && call.job.body().whole()).count();
    }

    @Override
    public long poolSize() {
        return upstreams.listed();
    }

    @Override
    public long poolEjected() {
        return rules.avoided(now());
    }

    private void finish(long id, Call call, Runnable answer) {
        if (!call.over) {
            call.over = true;
            if (call.timer != null) {
                call.timer.cancel(false);
            }
            call.job.body().discard();
            answer.run();
            forget(id, call);
        }
    }

    private void forget(long id, Call call) {
        if (call.over && call.out == 0) {
            calls.remove(id);
        }
    }

    @Override
    public void send(long request, long upstream, long timeout) {
        Call call = calls.get(request);
        long now = now();
        if (call == null) {
            return;
        }
        int number = call.attempts.size();
        call.out++;
        if (call.over || now >= call.deadline || number >= call.tryLimit || !call.job.body().repeatable()) {
            call.attempts.add(null);
            ended(request, call, number, upstream, now, Outcome.NEVER_SENT, null, new float[0]);
            return;
        }
        long wait = Math.min(left(call), call.deadline - now);
        if (timeout > 0) {
            wait = Math.min(wait, timeout);
        }
        call.attempts.add(null);
        AttemptListener listener = new AttemptListener() {
            @Override
            public void written() {
                call.counts.tried();
            }

            @Override
            public void begun(Attempt attempt, Answer first, long length, Source rest) {
                Engine.this.begun(request, call, number, upstream, now, attempt, () ->
                        call.client.begun(first, length, rest));
            }

            @Override
            public void more(ByteBuf bytes) {
                call.client.more(bytes);
            }

            @Override
            public void ended(Outcome outcome, Answer answer, float[] load) {
                Engine.this.ended(request, call, number, upstream, now, outcome, answer, load);
            }
        };
        call.attempts.set(number,
                upstreams.send(upstream, call.job.message(), call.job.body(), wait, listener));
    }

    private void begun(long id, Call call, int number, long upstream, long sentAt, Attempt attempt,
            Runnable answer) {
        if (call.over) {
            attempt.cancel();
            return;
        }
        call.begun = attempt;
        call.timer.cancel(false);
        tell(now -> rules.firstByte(now, id, number, upstream, now - sentAt));
        answer.run();
    }

    private void ended(long id, Call call, int number, long upstream, long sentAt, Outcome outcome,
            Answer answer, float[] load) {
        tell(now -> {
            call.out--;
            if (outcome == Outcome.OK) {
                finish(id, call, () -> {
                    call.counts.served();
                    if (call.begun == null) {
                        call.client.served(answer);
                    } else {
                        call.client.finished();
                    }
                });
            } else if (call.begun != null) {
                finish(id, call, () -> {
                    call.counts.failed();
                    call.client.cut();
                });
            }
            rules.outcome(now, id, number, upstream, outcome, now - sentAt, call.over, load);
            forget(id, call);
        });
    }

    @Override
    public void refuse(long request, long wait) {
        Call call = calls.get(request);
        if (call != null) {
            finish(request, call, () -> {
                call.counts.refused();
                call.client.refused(wait);
            });
        }
    }

    @Override
    public void fail(long request) {
        Call call = calls.get(request);
        if (call != null) {
            finish(request, call, () -> {
                call.counts.failed();
                call.client.failed();
            });
        }
    }

    @Override
    public void cancel(long request, int attempt) {
        Call call = calls.get(request);
        if (call != null && attempt < call.attempts.size() && call.attempts.get(attempt) != null) {
            call.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void timer(long token, long at) {
        loop.schedule(() -> tell(now -> rules.timer(now, token)), Math.max(0, at - now()),
                TimeUnit.NANOSECONDS);
    }

    @Override
    public void probe(long upstream) {
        long sentAt = now();
        upstreams.probe(upstream, (outcome, answer, load) -> tell(now ->
                rules.probeResult(now, upstream, outcome, now - sentAt, load)));
    }

    @Override
    public void closeIdle(long upstream) {
        upstreams.closeIdle(upstream);
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
        discovery.watch(on);
    }

    @Override
    public void fetchList() {
        discovery.fetch();
    }
}
