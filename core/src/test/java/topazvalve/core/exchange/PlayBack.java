package topazvalve.core.exchange;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazvalve.core.pool.Attempt;
import topazvalve.core.pool.AttemptListener;
import topazvalve.core.pool.Back;
import topazvalve.core.stream.RequestBody;
import topazvalve.core.time.Time;
import topazvalve.decisions.Balancer.Outcome;
import topazvalve.decisions.Options;

/** A back whose attempts do what the test says; it watches that a drained server gets nothing new. */
final class PlayBack implements Back<String, String> {
    /** An attempt that was sent, and what was done with it. */
    static final class Sent {
        final long server;
        final Attempt<String, String> attempt;
        final boolean readyThen;
        final boolean afterDoubt;
        final boolean withoutBody;
        boolean begun;

        Sent(long server, Attempt<String, String> attempt, boolean readyThen, boolean afterDoubt, boolean withoutBody) {
            this.server = server;
            this.attempt = attempt;
            this.readyThen = readyThen;
            this.afterDoubt = afterDoubt;
            this.withoutBody = withoutBody;
        }
    }

    final List<Sent> sent = new ArrayList<>();
    final Map<Long, Boolean> ready = new HashMap<>();
    boolean closed;
    private final Time time;

    PlayBack(Time time) {
        this.time = time;
    }

    @Override
    public Attempt<String, String> send(
            long server, String message, RequestBody body, long wait, AttemptListener<String, String> listener) {
        boolean doubt = sent.stream().anyMatch(each -> each.attempt.written());
        Attempt<String, String> attempt = new Attempt<>(time, message, body, wait, listener, over -> {});
        sent.add(new Sent(server, attempt, ready.getOrDefault(server, false), doubt, !body.repeatable()));
        if (body.whole()) {
            attempt.limit(wait);
        }
        return attempt;
    }

    @Override
    public void probe(long server, AttemptListener<String, String> listener) {
        listener.ended(Outcome.OK, null, Attempt.NO_LOAD);
    }

    @Override
    public void listed(long server, InetSocketAddress address, long startedMs, boolean takesWork) {
        ready.put(server, takesWork);
    }

    @Override
    public void gone(long server) {
        ready.remove(server);
    }

    @Override
    public int listed() {
        return ready.size();
    }

    @Override
    public void closeIdle(long server) {}

    @Override
    public void retune(Options options) {}

    @Override
    public void close() {
        closed = true;
    }
}
