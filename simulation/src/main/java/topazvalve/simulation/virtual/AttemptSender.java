package topazvalve.simulation.virtual;

import topazvalve.policy.Outcome;
import topazvalve.simulation.model.OrderServer;
import topazvalve.simulation.model.ServerMode;
import topazvalve.simulation.virtual.ServerConnections.VirtualConnection;

/** Sends the attempts of one instance to servers and delivers the responses, over connections that it reuses. */
final class AttemptSender {
    private final VirtualSimulation simulation;
    private final VirtualInstance instance;

    AttemptSender(VirtualSimulation simulation, VirtualInstance instance) {
        this.simulation = simulation;
        this.instance = instance;
    }

    private long now() {
        return simulation.clock().now();
    }

    /** Draws the one-way delay between the instance and the server of an attempt. */
    private long nextDelayNanos(VirtualAttempt attempt) {
        return simulation.link().nextDelayNanos(attempt.serverConnections.crossZone);
    }

    /**
     * Sends an attempt on an idle connection, or on a new one if there is none.
     *
     * @param timeoutNanos the timeout of the attempt; 0 for the deadline of its request
     */
    void send(VirtualAttempt attempt, long timeoutNanos) {
        long now = now();
        if (timeoutNanos != 0 && now + timeoutNanos < attempt.request.deadline) {
            simulation.clock().scheduleAt(now + Math.max(0, timeoutNanos), () -> timeOut(attempt));
        }
        VirtualConnection idle = attempt.serverConnections.takeIdle();
        long delay = nextDelayNanos(attempt);
        if (idle == null) {
            simulation.clock().scheduleAt(now + delay, () -> connect(attempt));
            return;
        }
        simulation.idleConnections().connectionBusy(idle);
        attempt.connection = idle;
        markWritten(attempt);
        simulation.clock().scheduleAt(now + delay, () -> deliver(attempt));
    }

    private void markWritten(VirtualAttempt attempt) {
        attempt.written = true;
        simulation.oracle().attemptInFlight(attempt.request.trace);
        simulation
                .oracle()
                .bytesArrived(attempt.request.trace, instance.toldNanos(attempt.request), simulation.elapsed());
    }

    /** The connection request has reached the server. */
    private void connect(VirtualAttempt attempt) {
        OrderServer server = attempt.serverConnections.server;
        ServerMode mode = server.mode();
        if (attempt.ended) {
            return;
        }
        long delayBack = nextDelayNanos(attempt);
        if (mode == ServerMode.VANISHED) {
            long timesOutAt = attempt.sentAt + simulation.scenario().limits().connectTimeout();
            simulation.clock().scheduleAt(timesOutAt, () -> end(attempt, Outcome.CONNECT_FAILED));
        } else if (mode == ServerMode.DOWN || mode == ServerMode.REFUSING || !server.acceptConnection()) {
            simulation.clock().scheduleAt(now() + delayBack, () -> end(attempt, Outcome.CONNECT_FAILED));
        } else {
            connected(attempt, delayBack);
        }
    }

    /** The server has accepted the connection; the attempt is written once the instance is notified. */
    private void connected(VirtualAttempt attempt, long delayBack) {
        simulation.statistics().connectionOpened();
        OrderServer server = attempt.serverConnections.server;
        attempt.connection = new VirtualConnection(attempt.serverConnections, server.incarnation());
        long delay = nextDelayNanos(attempt);
        simulation.clock().scheduleAt(now() + delayBack, () -> {
            if (!attempt.ended) {
                markWritten(attempt);
            }
        });
        simulation.clock().scheduleAt(now() + delayBack + delay, () -> deliver(attempt));
    }

    /** The complete attempt has reached the server. */
    private void deliver(VirtualAttempt attempt) {
        OrderServer server = attempt.serverConnections.server;
        if (attempt.ended || server.mode() == ServerMode.VANISHED) {
            return;
        }
        int connectedIncarnation = attempt.connection.serverIncarnation;
        if (server.incarnation() != connectedIncarnation) {
            sendBack(attempt, Outcome.RESET);
            return;
        }
        server.offer(attempt, attempt.serverConnections.knownStart >= server.startedAt());
        boolean crashed = server.incarnation() != connectedIncarnation;
        if (!crashed || attempt.ran) {
            simulation.attemptReceived(attempt);
        }
    }

    /** The server has responded or reset the connection, of which the instance learns after the link's delay. */
    void sendBack(VirtualAttempt attempt, Outcome outcome) {
        simulation.clock().scheduleAt(now() + nextDelayNanos(attempt), () -> end(attempt, outcome));
    }

    /** The server has completed an attempt successfully. */
    void responseSent(VirtualRequest request) {
        simulation.oracle().responseSent(request.trace);
    }

    /** The server has discarded an attempt before it ran. */
    void attemptNeverRan(VirtualRequest request) {
        simulation.oracle().attemptNeverRan(request.trace);
    }

    /** The timeout of an attempt is over; without effect if it has ended. */
    void timeOut(VirtualAttempt attempt) {
        if (!attempt.ended) {
            abandon(attempt);
            end(attempt, attempt.written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
        }
    }

    /** Cancels an attempt that has not ended. */
    void cancel(VirtualAttempt attempt) {
        abandon(attempt);
        instance.dispatch(() -> end(attempt, Outcome.CANCELLED));
    }

    /** Cancels an attempt at its server and closes its connection, without ending it. */
    void abandon(VirtualAttempt attempt) {
        attempt.serverConnections.server.cancel(attempt);
        if (attempt.connection != null) {
            attempt.connection.close();
        }
    }

    private void end(VirtualAttempt attempt, Outcome outcome) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        if (attempt.connection != null && !attempt.connection.closed) {
            releaseConnection(attempt, outcome);
        }
        instance.attemptEnded(attempt, outcome);
    }

    /** Makes the connection available for reuse if a response arrived on it, and closes it otherwise. */
    private void releaseConnection(VirtualAttempt attempt, Outcome outcome) {
        VirtualConnection connection = attempt.connection;
        ServerConnections server = attempt.serverConnections;
        boolean responded = outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.REJECTED;
        boolean alive = connection.serverIncarnation == server.server.incarnation();
        if (instance.running() && responded && alive) {
            connection.idle = true;
            server.idle.addLast(connection);
            simulation.idleConnections().connectionIdle(connection);
        } else {
            connection.close();
        }
    }
}
