package topazvalve.simulation.virtual;

import java.util.List;
import topazvalve.policy.EndpointInfo;
import topazvalve.policy.EndpointStatus;
import topazvalve.policy.UpdateKind;
import topazvalve.simulation.model.EndpointDirectory.Entry;
import topazvalve.simulation.oracle.Oracle.Answer;
import topazvalve.simulation.oracle.Rule;
import topazvalve.simulation.scenario.RequestClassSpec.Repeatability;

/** A sidecar that violates one rule for some requests, for tests of the oracle. */
final class FaultySidecar extends VirtualInstance {
    private static final int MISBEHAVES_EVERY = 20;
    private static final long RESEND_DELAY_NANOS = 1_000_000_000L;
    /** More than the 0.1 s of grace after a client disconnects, and the delay to a server here. */
    private static final long DISCONNECT_DELAY_NANOS = 250_000_000L;

    private final Rule violatedRule;
    private long newest = 1;
    private long newestStart;

    FaultySidecar(VirtualSimulation simulation, int number, Rule breaks) {
        super(simulation, number, simulation.zone(number));
        this.violatedRule = breaks;
    }

    private boolean misbehavesOn(VirtualRequest request) {
        return request.id % MISBEHAVES_EVERY == 0;
    }

    private boolean isOfKind(VirtualRequest request, Repeatability repeats) {
        return simulation.scenario().classes().get(request.requestClass).repeatability() == repeats;
    }

    @Override
    void requestReceived(VirtualRequest request) {
        if (violatedRule == Rule.TRUE_ANSWER && misbehavesOn(request)) {
            finish(request, Answer.SERVED, 0);
        } else if (violatedRule == Rule.AT_ONCE && misbehavesOn(request)) {
            simulation
                    .clock()
                    .scheduleAt(
                            simulation.clock().now()
                                    + (request.deadline - simulation.clock().now()) * 8 / 10,
                            () -> finish(request, Answer.FAILED, 0));
        } else {
            super.requestReceived(request);
            sendCopies(request);
        }
    }

    private void sendCopies(VirtualRequest request) {
        int copies = copyCount(request);
        for (int i = 0; i < copies && misbehavesOn(request) && request.attemptCount > 0; i++) {
            send(request, 1 + i % simulation.servers().size(), 0);
        }
    }

    private int copyCount(VirtualRequest request) {
        boolean repeats = (violatedRule == Rule.NEVER_TWICE && isOfKind(request, Repeatability.NEVER))
                || (violatedRule == Rule.KEYED_REPEAT && isOfKind(request, Repeatability.KEYED));
        if (repeats) {
            return 2;
        }
        return violatedRule == Rule.ATTEMPTS && isOfKind(request, Repeatability.FREE) ? 4 : 0;
    }

    @Override
    boolean mayNotSend(VirtualRequest request, int attemptNumber, long now) {
        boolean unbounded =
                violatedRule == Rule.ATTEMPTS || violatedRule == Rule.NOTHING_AFTER || violatedRule == Rule.CLIENT_LEFT;
        return unbounded ? attemptNumber >= request.attempts.length : super.mayNotSend(request, attemptNumber, now);
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
    void finish(VirtualRequest request, Answer answer, long wait) {
        if (violatedRule == Rule.ANSWERED && misbehavesOn(request)) {
            return;
        }
        boolean misreports = violatedRule == Rule.HARMLESS_REFUSAL && answer == Answer.FAILED;
        super.finish(request, misreports ? Answer.REJECTED : answer, wait);
        if (violatedRule == Rule.ANSWERED_ONCE && misbehavesOn(request)) {
            request.listener.responseReceived(request, answer, wait);
        }
        if (violatedRule == Rule.NOTHING_AFTER && misbehavesOn(request) && request.attemptCount < 2) {
            simulation.clock().scheduleAt(simulation.clock().now() + RESEND_DELAY_NANOS, () -> send(request, 1, 0));
        }
    }

    @Override
    void applyEntries(List<Entry> entries, long listRevision) {
        super.applyEntries(entries, listRevision);
        for (Entry each : entries) {
            if (each.state() == EndpointStatus.READY && each.startedAt() > newestStart) {
                newestStart = each.startedAt();
                newest = each.server().id();
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
        super.forward(requestId, violatedRule == Rule.COLD && newestStart > 0 ? newest : endpoint, timeoutNanos);
    }
}
