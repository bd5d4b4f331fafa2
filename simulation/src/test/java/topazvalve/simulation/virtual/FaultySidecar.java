package topazvalve.simulation.virtual;

import java.util.List;
import topazvalve.policy.LoadBalancer.EndpointInfo;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.policy.LoadBalancer.UpdateKind;
import topazvalve.simulation.model.EndpointDirectory.Entry;
import topazvalve.simulation.oracle.Oracle.Answer;
import topazvalve.simulation.oracle.Rule;
import topazvalve.simulation.scenario.WorkClass.Repeatability;

/** A sidecar that breaks one rule now and then, for the oracle to find. */
final class FaultySidecar extends VirtualInstance {
    private static final int NOW_AND_THEN = 20;
    private static final long LATER = 1_000_000_000L;
    /** Over the 0.1 s that a client's leaving may take to be heard of, and the way to a server here. */
    private static final long AFTER_LEAVING = 250_000_000L;

    private final Rule breaks;
    private long newest = 1;
    private long newestStart;

    FaultySidecar(VirtualWorld world, int number, Rule breaks) {
        super(world, number, world.zone(number));
        this.breaks = breaks;
    }

    private boolean picks(VirtualRequest request) {
        return request.id % NOW_AND_THEN == 0;
    }

    private boolean of(VirtualRequest request, Repeatability repeats) {
        return world.scenario().classes().get(request.requestClass).repeatability() == repeats;
    }

    @Override
    void requestReceived(VirtualRequest request) {
        if (breaks == Rule.TRUE_ANSWER && picks(request)) {
            finish(request, Answer.SERVED, 0);
        } else if (breaks == Rule.AT_ONCE && picks(request)) {
            world.clock()
                    .scheduleAt(
                            world.clock().now()
                                    + (request.deadline - world.clock().now()) * 8 / 10,
                            () -> finish(request, Answer.FAILED, 0));
        } else {
            super.requestReceived(request);
            copies(request);
        }
    }

    private void copies(VirtualRequest request) {
        boolean twice = (breaks == Rule.NEVER_TWICE && of(request, Repeatability.NEVER))
                || (breaks == Rule.KEYED_REPEAT && of(request, Repeatability.KEYED));
        int copies = twice ? 2 : breaks == Rule.ATTEMPTS && of(request, Repeatability.FREE) ? 4 : 0;
        for (int i = 0; i < copies && picks(request) && request.attemptCount > 0; i++) {
            send(request, 1 + i % world.servers().size(), 0);
        }
    }

    @Override
    boolean mayNotSend(VirtualRequest request, int attemptNumber, long now) {
        boolean unbounded = breaks == Rule.ATTEMPTS || breaks == Rule.NOTHING_AFTER || breaks == Rule.CLIENT_LEFT;
        return unbounded ? attemptNumber >= request.attempts.length : super.mayNotSend(request, attemptNumber, now);
    }

    /** A client that has left is not missed, and its request is sent on all the same. */
    @Override
    void clientDisconnected(VirtualRequest request) {
        if (breaks == Rule.CLIENT_LEFT) {
            world.clock().scheduleAt(world.clock().now() + AFTER_LEAVING, () -> send(request, 1, 0));
        } else {
            super.clientDisconnected(request);
        }
    }

    @Override
    void finish(VirtualRequest request, Answer answer, long wait) {
        if (breaks == Rule.ANSWERED && picks(request)) {
            return;
        }
        boolean lies = breaks == Rule.HARMLESS_REFUSAL && answer == Answer.FAILED;
        super.finish(request, lies ? Answer.REFUSED : answer, wait);
        if (breaks == Rule.ANSWERED_ONCE && picks(request)) {
            request.listener.responseReceived(request, answer, wait);
        }
        if (breaks == Rule.NOTHING_AFTER && picks(request) && request.attemptCount < 2) {
            world.clock().scheduleAt(world.clock().now() + LATER, () -> send(request, 1, 0));
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
    void endpointsUpdated(UpdateKind kind, List<EndpointInfo> lines) {
        boolean deaf = breaks == Rule.DRAIN && kind != UpdateKind.CACHED;
        super.endpointsUpdated(
                deaf ? UpdateKind.DELTA : kind,
                deaf
                        ? lines.stream()
                                .filter(each -> each.status() == EndpointStatus.READY)
                                .toList()
                        : lines);
    }

    @Override
    public void forward(long requestId, long endpoint, long timeoutNanos) {
        super.forward(requestId, breaks == Rule.COLD && newestStart > 0 ? newest : endpoint, timeoutNanos);
    }
}
