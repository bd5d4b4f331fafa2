package topazvalve.core.exchange;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazvalve.core.pool.Attempt;
import topazvalve.core.pool.AttemptListener;
import topazvalve.core.pool.Backend;
import topazvalve.core.stream.RequestBody;
import topazvalve.core.time.Scheduler;
import topazvalve.policy.LoadBalancer.Outcome;
import topazvalve.policy.SettingsReader;

/** A back whose attempts do what the test says; it watches that a drained server gets nothing new. */
final class PlayBack implements Backend<String, String> {
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
    private final Scheduler time;

    PlayBack(Scheduler time) {
        this.time = time;
    }

    @Override
    public Attempt<String, String> startAttempt(
            long server, String message, RequestBody body, long wait, AttemptListener<String, String> listener) {
        boolean doubt = sent.stream().anyMatch(each -> each.attempt.isWritten());
        Attempt<String, String> attempt = new Attempt<>(time, message, body, wait, listener, over -> {});
        sent.add(new Sent(server, attempt, ready.getOrDefault(server, false), doubt, !body.isReplayable()));
        if (body.isComplete()) {
            attempt.startTimeout(wait);
        }
        return attempt;
    }

    @Override
    public void sendHealthCheck(long server, AttemptListener<String, String> listener) {
        listener.attemptCompleted(Outcome.OK, null, Attempt.NO_LOAD);
    }

    @Override
    public void endpointUpdated(long server, InetSocketAddress address, long startedMs, boolean takesWork) {
        ready.put(server, takesWork);
    }

    @Override
    public void endpointRemoved(long server) {
        ready.remove(server);
    }

    @Override
    public int endpointCount() {
        return ready.size();
    }

    @Override
    public void closeIdleConnections(long server) {}

    @Override
    public void settingsChanged(SettingsReader options) {}

    @Override
    public void close() {
        closed = true;
    }
}
