package topazvalve.simulation.virtual;

import topazvalve.policy.Outcome;
import topazvalve.simulation.model.ServerAttempt;
import topazvalve.simulation.model.ServerMode;

/** A health check that an instance sends. The server queues and serves it like a request. */
final class VirtualHealthCheck extends ServerAttempt {
    private static final long TIMEOUT_NANOS = 250_000_000;
    private final VirtualSimulation simulation;
    private final VirtualInstance instance;
    private final ServerConnections target;
    private final long sentAt;
    private final int sentByIncarnation;
    private boolean ended;

    VirtualHealthCheck(VirtualSimulation simulation, VirtualInstance instance, ServerConnections target) {
        super(HEALTH_CHECK_WORK, 0, 0, simulation.clock().now() + TIMEOUT_NANOS);
        this.simulation = simulation;
        this.instance = instance;
        this.target = target;
        this.sentAt = simulation.clock().now();
        this.sentByIncarnation = instance.incarnation();
    }

    /** Sends the health check; the instance is notified of its outcome. */
    void send() {
        simulation.statistics().healthCheckSent();
        simulation.clock().scheduleAt(sentAt + simulation.link().nextDelayNanos(target.crossZone), this::arrive);
        simulation.clock().scheduleAt(sentAt + TIMEOUT_NANOS, () -> end(Outcome.TIMEOUT));
    }

    private void arrive() {
        ServerMode mode = target.server.mode();
        if (mode == ServerMode.DOWN || mode == ServerMode.REFUSING) {
            sendBack(Outcome.CONNECT_FAILED);
        } else {
            target.server.offer(this, true);
        }
    }

    private void sendBack(Outcome outcome) {
        long delay = simulation.link().nextDelayNanos(target.crossZone);
        simulation.clock().scheduleAt(simulation.clock().now() + delay, () -> end(outcome));
    }

    private void end(Outcome outcome) {
        if (!ended) {
            ended = true;
            instance.healthCheckEnded(sentByIncarnation, target.server.id(), outcome, sentAt);
        }
    }

    @Override
    protected void started() {}

    @Override
    protected void completed(boolean success, boolean corrupted) {
        sendBack(success ? Outcome.OK : Outcome.ERROR);
    }

    @Override
    protected void rejected() {
        sendBack(Outcome.REJECTED);
    }

    @Override
    protected void reset() {
        sendBack(Outcome.RESET);
    }

    @Override
    protected void discarded() {}
}
