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

    private boolean picks(VirtualCall call) {
        return call.id % NOW_AND_THEN == 0;
    }

    private boolean of(VirtualCall call, Repeatability repeats) {
        return world.scenario().classes().get(call.requestClass).repeatability() == repeats;
    }

    @Override
    void request(VirtualCall call) {
        if (breaks == Rule.TRUE_ANSWER && picks(call)) {
            finish(call, Answer.SERVED, 0);
        } else if (breaks == Rule.AT_ONCE && picks(call)) {
            world.clock()
                    .scheduleAt(
                            world.clock().now() + (call.deadline - world.clock().now()) * 8 / 10,
                            () -> finish(call, Answer.FAILED, 0));
        } else {
            super.request(call);
            copies(call);
        }
    }

    private void copies(VirtualCall call) {
        boolean twice = (breaks == Rule.NEVER_TWICE && of(call, Repeatability.NEVER))
                || (breaks == Rule.KEYED_REPEAT && of(call, Repeatability.KEYED));
        int copies = twice ? 2 : breaks == Rule.ATTEMPTS && of(call, Repeatability.FREE) ? 4 : 0;
        for (int i = 0; i < copies && picks(call) && call.tries > 0; i++) {
            send(call, 1 + i % world.servers().size(), 0);
        }
    }

    @Override
    boolean refusesToSend(VirtualCall call, int mine, long now) {
        boolean unbounded = breaks == Rule.ATTEMPTS || breaks == Rule.NOTHING_AFTER || breaks == Rule.CLIENT_LEFT;
        return unbounded ? mine >= call.attempts.length : super.refusesToSend(call, mine, now);
    }

    /** A client that has left is not missed, and its request is sent on all the same. */
    @Override
    void hangup(VirtualCall call) {
        if (breaks == Rule.CLIENT_LEFT) {
            world.clock().scheduleAt(world.clock().now() + AFTER_LEAVING, () -> send(call, 1, 0));
        } else {
            super.hangup(call);
        }
    }

    @Override
    void finish(VirtualCall call, Answer answer, long wait) {
        if (breaks == Rule.ANSWERED && picks(call)) {
            return;
        }
        boolean lies = breaks == Rule.HARMLESS_REFUSAL && answer == Answer.FAILED;
        super.finish(call, lies ? Answer.REFUSED : answer, wait);
        if (breaks == Rule.ANSWERED_ONCE && picks(call)) {
            call.client.answered(call, answer, wait);
        }
        if (breaks == Rule.NOTHING_AFTER && picks(call) && call.tries < 2) {
            world.clock().scheduleAt(world.clock().now() + LATER, () -> send(call, 1, 0));
        }
    }

    @Override
    void heard(List<Entry> entries, long listRevision) {
        super.heard(entries, listRevision);
        for (Entry each : entries) {
            if (each.state() == EndpointStatus.READY && each.startedAt() > newestStart) {
                newestStart = each.startedAt();
                newest = each.server().id();
            }
        }
    }

    @Override
    void listed(UpdateKind kind, List<EndpointInfo> lines) {
        boolean deaf = breaks == Rule.DRAIN && kind != UpdateKind.CACHED;
        super.listed(
                deaf ? UpdateKind.DELTA : kind,
                deaf
                        ? lines.stream()
                                .filter(each -> each.status() == EndpointStatus.READY)
                                .toList()
                        : lines);
    }

    @Override
    public void forward(long request, long upstream, long timeout) {
        super.forward(request, breaks == Rule.COLD && newestStart > 0 ? newest : upstream, timeout);
    }
}
