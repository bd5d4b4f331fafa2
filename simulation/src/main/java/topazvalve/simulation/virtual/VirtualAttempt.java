package topazvalve.simulation.virtual;

import topazvalve.policy.Outcome;
import topazvalve.simulation.model.ServerAttempt;

/** One attempt of an instance, from its sending to its outcome. */
final class VirtualAttempt extends ServerAttempt {
    private final AttemptSender sender;
    final VirtualRequest request;
    final int number;
    final ServerConnections serverConnections;
    final long sentAt;
    /** Null until the server has accepted the connection. */
    ServerConnections.VirtualConnection connection;
    /** Whether its last byte has been written. */
    boolean written;
    /** Whether the server has rejected it. */
    boolean rejected;
    /** Whether the server has started it. */
    boolean ran;
    /** Whether it has an outcome. */
    boolean ended;

    /**
     * Creates an attempt that has not been sent yet.
     *
     * @param number the number of earlier attempts of its request
     * @param work its work in nanoseconds of a standard core
     */
    VirtualAttempt(
            AttemptSender sender,
            VirtualRequest request,
            int number,
            ServerConnections serverConnections,
            double work,
            long sentAt) {
        super(work, request.requestClass, request.key, request.deadline);
        this.sender = sender;
        this.request = request;
        this.number = number;
        this.serverConnections = serverConnections;
        this.sentAt = sentAt;
    }

    @Override
    protected void started() {
        ran = true;
    }

    @Override
    protected void completed(boolean success, boolean corrupted) {
        boolean served = success && !corrupted;
        if (served) {
            sender.responseSent(request);
        }
        sender.sendBack(this, served ? Outcome.OK : Outcome.ERROR);
    }

    @Override
    protected void rejected() {
        rejected = true;
        sender.sendBack(this, Outcome.REJECTED);
    }

    @Override
    protected void reset() {
        sender.sendBack(this, Outcome.RESET);
    }

    @Override
    protected void discarded() {
        if (!ran) {
            sender.attemptNeverRan(request);
        }
    }
}
