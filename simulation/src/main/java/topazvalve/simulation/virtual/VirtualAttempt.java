package topazvalve.simulation.virtual;

import topazvalve.policy.LoadBalancer.Outcome;
import topazvalve.simulation.model.ServerAttempt;

/** One attempt on its way to a server, there, and back. */
final class VirtualAttempt extends ServerAttempt {
    final VirtualInstance instance;
    final VirtualCall call;
    final int number;
    final Peer peer;
    final long sentAt;
    Peer.Connection connection;
    /** Whether its last byte has been written. */
    boolean written;

    boolean received;
    boolean turnedAway;
    boolean ran;
    boolean ended;

    VirtualAttempt(VirtualInstance instance, VirtualCall call, int number, Peer peer, double work, long sentAt) {
        super(work, call.requestClass, call.key, call.deadline);
        this.instance = instance;
        this.call = call;
        this.number = number;
        this.peer = peer;
        this.sentAt = sentAt;
    }

    @Override
    protected void started() {
        ran = true;
    }

    @Override
    protected void completed(boolean good, boolean spoilt) {
        if (good && !spoilt) {
            instance.servedAtServer(call);
        }
        instance.comesBack(this, good && !spoilt ? Outcome.OK : Outcome.ERROR);
    }

    @Override
    protected void rejected() {
        turnedAway = true;
        instance.comesBack(this, Outcome.REJECTED);
    }

    @Override
    protected void reset() {
        instance.comesBack(this, Outcome.RESET);
    }

    @Override
    protected void discarded() {
        if (!ran) {
            instance.neverRan(call);
        }
    }
}
