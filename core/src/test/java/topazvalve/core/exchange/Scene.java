package topazvalve.core.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazvalve.core.classes.ClassTable;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.core.endpoint.EndpointDiscovery;
import topazvalve.core.metrics.Metrics;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.stream.FlowControl;
import topazvalve.core.stream.RequestBody;
import topazvalve.policy.LoadBalancer;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.policy.LoadBalancer.Idempotency;
import topazvalve.policy.LoadBalancer.Outcome;
import topazvalve.policy.LoadBalancer.UpdateKind;
import topazvalve.policy.SettingsReader;
import topazvalve.policy.SidecarPolicy;

/** One exchange among two servers, the real core and the real module in played time, and what can happen. */
final class Scene {
    private static final String SETTINGS = """
            quantum=0
            caps.mayCancel=%s
            caps.tryLimit=%d
            caps.retryAfter=true
            caps.maxRetryAfter=1000000000
            rules.answerSlack=100000000
            rules.askWithin=1000000000
            rules.stopSendingWithin=500000000
            rules.coldShare=0.5
            rules.rampTime=1000000000
            rules.overloadFactor=2
            rules.tipAfter=1000000000
            profiles.count=1
            profiles.0.name=one
            profiles.0.slo=100000000
            profiles.0.deadline=400000000
            profiles.0.keyTtl=1000000000
            profiles.0.keyScope=all
            profiles.0.semantics=%s
            """;
    private static final int TRIES = 4;

    final PlayTime time = new PlayTime();
    final PlayBack back = new PlayBack(time);
    private final ClassTable classes = new ClassTable();
    private final Idempotency semantics;
    private final boolean rogue;
    private final ByteBudget budget = new ByteBudget(ByteBudget.MIN_QUOTA_BYTES);
    private final RequestBody body;
    private final ExchangeManager<String, String> exchanges;
    private final List<String> finals = new ArrayList<>();
    private final List<ByteBuf> given = new ArrayList<>();
    private final Map<Integer, Integer> outcomes = new HashMap<>();
    private final Map<Long, Long> drainedAt = new HashMap<>();
    private long id;
    private int orders;
    private boolean begun;
    private boolean left;
    private int sentUntilLeft;
    private boolean dropped;
    private boolean retuned;
    private boolean stopped;
    private boolean stalledBefore;

    /** The settings' word for it. */
    private static String settingOf(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "repeatable";
            case IDEMPOTENCY_KEY -> "by_key";
            case NON_IDEMPOTENT -> "once";
        };
    }

    /** With {@code rogue} orders may come that the module did not give, and it can't cancel. */
    Scene(Idempotency semantics, boolean whole, boolean rogue) {
        this(semantics, whole, rogue, false);
    }

    /** As above; with {@code stalled} the request is taken in a stall. */
    Scene(Idempotency semantics, boolean whole, boolean rogue, boolean stalled) {
        this.semantics = semantics;
        this.rogue = rogue;
        body = whole ? RequestBody.of(new byte[8]) : new RequestBody(budget, -1);
        SettingsReader options = options(TRIES);
        exchanges = new ExchangeManager<>(time, options, this::module, back, 2, new Metrics(), classes);
        exchanges.start(
                EndpointDiscovery.fixed(List::of, (kind, targets) -> {}),
                List.of(target(1, EndpointStatus.READY), target(2, EndpointStatus.READY)));
        if (stalled) {
            time.stall();
        }
        id = exchanges.submit(
                new ExchangeRequest<>(classes.find("one"), 0, 0, 400, 0, false, true, "ask", body), new Taker());
    }

    private SettingsReader options(int tries) {
        return new SettingsReader(SETTINGS.formatted(!rogue, tries, settingOf(semantics)));
    }

    private static Endpoint target(int number, EndpointStatus state) {
        return new Endpoint("s" + number, new InetSocketAddress("127.0.0.1", number), "z", "k", number, state, 1, 0);
    }

    /** The real module, between two ears. */
    private LoadBalancer module(LoadBalancer.Settings settings, LoadBalancer.Actions actions) {
        LoadBalancer.Actions heard = (LoadBalancer.Actions) Proxy.newProxyInstance(
                Scene.class.getClassLoader(),
                new Class<?>[] {LoadBalancer.Actions.class},
                (proxy, method, arguments) -> {
                    if (method.getName().equals("forward")) {
                        orders++;
                    }
                    return call(actions, method, arguments);
                });
        LoadBalancer rules = new SidecarPolicy(settings, 7, heard);
        return (LoadBalancer) Proxy.newProxyInstance(
                Scene.class.getClassLoader(), new Class<?>[] {LoadBalancer.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("attemptCompleted")) {
                        outcomes.merge((Integer) arguments[2], 1, Integer::sum);
                    }
                    return call(rules, method, arguments);
                });
    }

    private static Object call(Object on, java.lang.reflect.Method method, Object[] arguments) throws Throwable {
        try {
            return method.invoke(on, arguments);
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }

    /** What the client is told. */
    private final class Taker implements ResponseListener<String> {
        @Override
        public void responseReceived(String answer) {
            ends("served");
        }

        @Override
        public void responseStarted(String first, long length, FlowControl rest) {
            assertTrue(!begun && finals.isEmpty(), "begun once, before any end");
            begun = true;
        }

        @Override
        public void responseData(ByteBuf bytes) {
            assertTrue(begun, "more of nothing");
            bytes.release();
        }

        @Override
        public void responseCompleted() {
            assertTrue(begun, "finished what never began");
            assertTrue(
                    back.sent.stream().allMatch(each -> !each.begun || each.attempt.isCompleted()),
                    "finished by another's end");
            ends("finished");
        }

        @Override
        public void responseAborted() {
            assertTrue(begun, "cut what never began");
            ends("cut");
        }

        @Override
        public void rejected(long wait) {
            assertTrue(!begun, "refused in the middle");
            ends("refused");
        }

        @Override
        public void failed() {
            assertTrue(!begun, "failed in the middle");
            ends("failed");
        }

        private void ends(String how) {
            assertTrue(!left, "told after it left: " + how);
            finals.add(how);
            assertTrue(finals.size() == 1, "told twice: " + finals);
        }
    }

    /** Everything that can happen next, each as its name. */
    List<String> next() {
        List<String> events = new ArrayList<>();
        for (int i = 0; i < back.sent.size(); i++) {
            PlayBack.Sent each = back.sent.get(i);
            if (each.attempt.isCompleted()) {
                continue;
            }
            if (!each.attempt.isWritten()) {
                events.add("lost " + i);
                events.add(body.isComplete() ? "write " + i : "reject " + i);
            } else if (!each.begun) {
                events.add("ok " + i);
                events.add("error " + i);
                events.add("begin " + i);
            } else {
                events.add("more " + i);
                events.add("end " + i);
                events.add("reset " + i);
            }
        }
        if (!left && finals.isEmpty()) {
            events.add("hangup");
            if (!body.isComplete()) {
                events.add("last byte");
                if (!dropped) {
                    events.add("drop");
                }
            }
        }
        if (rogue && orders < TRIES + 2) {
            events.add("order");
        }
        events.add("ring");
        if (time.stalled()) {
            events.add("heard");
        } else if (!stalledBefore) {
            events.add("stall");
        }
        if (drainedAt.isEmpty()) {
            events.add("drain");
        }
        if (!retuned) {
            events.add("retune");
        }
        if (!stopped) {
            events.add("stop");
        }
        return events;
    }

    void play(String event) {
        time.pass(1_000_000);
        String[] words = event.split(" ");
        PlayBack.Sent sent = words.length == 2 && Character.isDigit(words[1].charAt(0))
                ? back.sent.get(Integer.parseInt(words[1]))
                : null;
        // What was due meanwhile may have ended it.
        if (sent != null && sent.attempt.isCompleted()) {
            return;
        }
        switch (words[0]) {
            case "write" -> {
                sent.attempt.writeStarted();
                sent.attempt.handedOver();
                sent.attempt.requestWritten();
            }
            case "lost" -> sent.attempt.connectionLost();
            case "reject" -> sent.attempt.complete(Outcome.REJECTED);
            case "ok" -> sent.attempt.complete(Outcome.OK, "answer", new float[0]);
            case "error" -> sent.attempt.complete(Outcome.ERROR);
            case "reset" -> sent.attempt.connectionLost();
            case "begin" -> {
                sent.begun = true;
                sent.attempt.responseStarted("first", -1, new FlowControl() {
                    @Override
                    public void pause() {}

                    @Override
                    public void resume() {}
                });
            }
            case "more" -> {
                ByteBuf bytes = Unpooled.buffer(1).writeByte(1);
                given.add(bytes);
                sent.attempt.responseData(bytes);
            }
            case "end" -> sent.attempt.complete(Outcome.OK, null, new float[0]);
            case "hangup" -> {
                left = finals.isEmpty();
                exchanges.clientDisconnected(id);
                sentUntilLeft = back.sent.size();
            }
            case "order" -> {
                if (exchanges.held() > 0) {
                    orders++;
                    exchanges.forward(id, 2, 0);
                }
            }
            case "last" -> {
                if (!body.isComplete()) {
                    body.complete();
                }
            }
            case "drop" -> dropBody();
            case "ring" -> time.ringNext();
            case "stall" -> {
                stalledBefore = true;
                time.stall();
            }
            case "heard" -> time.heard();
            case "drain" -> {
                drainedAt.put(1L, time.now());
                exchanges.endpointsUpdated(UpdateKind.DELTA, List.of(target(1, EndpointStatus.DRAINING)));
            }
            case "retune" -> {
                retuned = true;
                exchanges.settingsChanged(options(1));
            }
            case "stop" -> {
                stopped = true;
                exchanges.stop();
            }
            default -> throw new IllegalArgumentException(event);
        }
        holds();
    }

    /** More comes than may be held, and what was read of it is let go. */
    private void dropBody() {
        dropped = true;
        ByteBuf piece = Unpooled.wrappedBuffer(new byte[ByteBudget.MIN_QUOTA_BYTES]);
        for (int i = 0; i < 3; i++) {
            body.add(piece.duplicate());
            for (ByteBuf read = body.nextChunk(); read != null; read = body.nextChunk()) {
                read.release();
            }
        }
    }

    /** What holds at every moment. */
    private void holds() {
        assertEquals(0, exchanges.faults(), "an event was not handled");
        outcomes.forEach((number, count) -> assertEquals(1, count, "outcomes of attempt " + number));
        assertTrue(back.sent.size() <= TRIES, "more than four attempts");
        assertTrue(!left || back.sent.size() == sentUntilLeft, "an attempt begins, its client has left");
        for (PlayBack.Sent each : back.sent) {
            assertTrue(each.readyThen, "sent to a drained server");
            assertTrue(rogue || semantics != Idempotency.NON_IDEMPOTENT || !each.afterDoubt, "ran twice");
            assertTrue(!left || !each.begun || each.attempt.isCompleted(), "answers who has left");
            assertTrue(
                    !left || each.attempt.isWritten() || each.attempt.isCompleted(),
                    "waits to be sent on though its client has left");
        }
        assertTrue(back.sent.stream().noneMatch(each -> each.withoutBody), "sent again without its body");
    }

    /** Lets everything come to its end, and looks whether all is settled. */
    void settle() {
        time.heard();
        if (!body.isComplete() && !left && finals.isEmpty()) {
            body.complete();
        }
        for (int i = 0; i < back.sent.size(); i++) {
            back.sent.get(i).attempt.connectionLost();
            holds();
        }
        time.pass(10_000_000_000L);
        for (int i = 0; i < back.sent.size(); i++) {
            back.sent.get(i).attempt.connectionLost();
        }
        holds();
        assertEquals(left ? 0 : 1, finals.size(), "final answers");
        assertEquals(orders, outcomes.size(), "each order has an outcome");
        assertEquals(0, exchanges.held(), "exchanges still known");
        given.forEach(bytes -> assertEquals(0, bytes.refCnt(), "a buffer is lost"));
    }

    /** Where things stand, for counting how many different states were seen. */
    String state() {
        StringBuilder text = new StringBuilder()
                .append(exchanges.phases())
                .append(finals)
                .append(begun)
                .append(left)
                .append(dropped)
                .append(retuned)
                .append(stopped)
                .append(body.isComplete())
                .append(drainedAt.keySet())
                .append(time.stalled());
        for (PlayBack.Sent each : back.sent) {
            text.append(each.server)
                    .append(each.attempt.isCompleted() ? 'o' : each.begun ? 'b' : each.attempt.isWritten() ? 'w' : 'n');
        }
        return text.toString();
    }
}
