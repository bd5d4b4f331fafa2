package topazvalve.simulation.virtual;

import java.util.List;
import topazvalve.policy.EndpointInfo;
import topazvalve.policy.EndpointStatus;
import topazvalve.policy.UpdateKind;
import topazvalve.simulation.model.EndpointDirectory.Entry;
import topazvalve.simulation.oracle.Oracle.Answer;
import topazvalve.simulation.oracle.Rule;
import topazvalve.simulation.scenario.RequestClassSpec.Repeatability;

/** A sidecar that violates one rule, for tests of the oracle. Most rules are violated on every 20th request only. */
final class FaultySidecar extends VirtualInstance {
    private static final int VIOLATION_INTERVAL = 20;
    private static final long RESEND_DELAY_NANOS = 1_000_000_000L;
    /** More than the 0.1 s of grace after a client disconnects plus the delay to a server in this scenario. */
    private static final long DISCONNECT_DELAY_NANOS = 250_000_000L;
    /** More than the slack of 0.15 s after a deadline. */
    private static final long EXCESS_TIME_NANOS = 400_000_000L;

    private final Rule violatedRule;
    private long newestServer = 1;
    private long newestServerStart;

    FaultySidecar(VirtualSimulation simulation, int number, Rule violatedRule) {
        super(simulation, number, simulation.zone(number));
        this.violatedRule = violatedRule;
    }

    private boolean violatesRuleFor(VirtualRequest request) {
        return request.id % VIOLATION_INTERVAL == 0;
    }

    private boolean hasRepeatability(VirtualRequest request, Repeatability repeatability) {
        return simulation.scenario().classes().get(request.requestClass).repeatability() == repeatability;
    }

    @Override
    long toldNanos(VirtualRequest request) {
        return super.toldNanos(request) + (violatedRule == Rule.TIME_TOLD ? EXCESS_TIME_NANOS : 0);
    }

    @Override
    void requestReceived(VirtualRequest request) {
        if (violatedRule == Rule.TRUE_ANSWER && violatesRuleFor(request)) {
            finish(request, Answer.SERVED, 0);
        } else if (violatedRule == Rule.AT_ONCE && violatesRuleFor(request)) {
            simulation
                    .clock()
                    .scheduleAt(
                            simulation.clock().now()
                                    + (request.deadline - simulation.clock().now()) * 8 / 10,
                            () -> finish(request, Answer.FAILED, 0));
        } else if (violatedRule == Rule.AFTER_DEADLINE && violatesRuleFor(request)) {
            simulation.clock().scheduleAt(request.deadline + EXCESS_TIME_NANOS, () -> send(request, 1, 0));
        } else {
            super.requestReceived(request);
            sendCopies(request);
        }
    }

    private void sendCopies(VirtualRequest request) {
        int copies = copyCount(request);
        for (int i = 0; i < copies && violatesRuleFor(request) && request.attemptCount > 0; i++) {
            send(request, 1 + i % simulation.servers().size(), 0);
        }
    }

    private int copyCount(VirtualRequest request) {
        boolean repeatsAttempt = (violatedRule == Rule.NEVER_TWICE && hasRepeatability(request, Repeatability.NEVER))
                || (violatedRule == Rule.KEYED_REPEAT && hasRepeatability(request, Repeatability.KEYED));
        if (repeatsAttempt) {
            return 2;
        }
        return violatedRule == Rule.ATTEMPTS && hasRepeatability(request, Repeatability.FREE) ? 4 : 0;
    }

    @Override
    boolean mustNotSend(VirtualRequest request, int attemptNumber, long now) {
        boolean ignoresLimits = violatedRule == Rule.ATTEMPTS
                || violatedRule == Rule.NOTHING_AFTER
                || violatedRule == Rule.CLIENT_LEFT
                || violatedRule == Rule.AFTER_DEADLINE;
        return ignoresLimits
                ? attemptNumber >= request.attempts.length
                : super.mustNotSend(request, attemptNumber, now);
    }

    /** Ignores that the client has disconnected, and sends an attempt afterwards. */
    @Override
    void clientDisconnected(VirtualRequest request) {
        if (violatedRule == Rule.CLIENT_LEFT) {
            simulation.clock().scheduleAt(simulation.clock().now() + DISCONNECT_DELAY_NANOS, () -> send(request, 1, 0));
        } else {
            super.clientDisconnected(request);
        }
    }

    @Override
    void finish(VirtualRequest request, Answer answer, long retryAfterNanos) {
        if (violatedRule == Rule.ANSWERED && violatesRuleFor(request)) {
            return;
        }
        boolean misreports = violatedRule == Rule.HARMLESS_REFUSAL && answer == Answer.FAILED;
        super.finish(request, misreports ? Answer.REJECTED : answer, retryAfterNanos);
        if (violatedRule == Rule.ANSWERED_ONCE && violatesRuleFor(request)) {
            request.listener.responseReceived(request, answer, retryAfterNanos);
        }
        if (violatedRule == Rule.NOTHING_AFTER && violatesRuleFor(request) && request.attemptCount < 2) {
            simulation.clock().scheduleAt(simulation.clock().now() + RESEND_DELAY_NANOS, () -> send(request, 1, 0));
        }
    }

    @Override
    void applyEntries(List<Entry> entries, long listRevision) {
        super.applyEntries(entries, listRevision);
        for (Entry each : entries) {
            if (each.state() == EndpointStatus.READY && each.startedAt() > newestServerStart) {
                newestServerStart = each.startedAt();
                newestServer = each.server().id();
            }
        }
    }

    @Override
    void endpointsUpdated(UpdateKind kind, List<EndpointInfo> endpoints) {
        if (violatedRule != Rule.DRAIN || kind == UpdateKind.CACHED) {
            super.endpointsUpdated(kind, endpoints);
            return;
        }
        List<EndpointInfo> ready = endpoints.stream()
                .filter(each -> each.status() == EndpointStatus.READY)
                .toList();
        super.endpointsUpdated(UpdateKind.DELTA, ready);
    }

    @Override
    public void forward(long requestId, long endpoint, long timeoutNanos) {
        super.forward(
                requestId, violatedRule == Rule.COLD && newestServerStart > 0 ? newestServer : endpoint, timeoutNanos);
    }
}
