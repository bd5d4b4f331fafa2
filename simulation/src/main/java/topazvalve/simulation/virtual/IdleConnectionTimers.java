package topazvalve.simulation.virtual;

import topazvalve.simulation.model.Clock;
import topazvalve.simulation.virtual.ServerConnections.VirtualConnection;

/** Closes the idle connections of all instances after a timeout. */
final class IdleConnectionTimers {
    private final FixedDelayQueue<VirtualConnection> idle;

    /** Creates timers that close a connection after it has been idle for this long. */
    IdleConnectionTimers(Clock clock, long timeoutNanos) {
        this.idle = new FixedDelayQueue<>(clock, timeoutNanos, IdleConnectionTimers::closeIfIdle);
    }

    /** Starts the timer of a connection. */
    void connectionIdle(VirtualConnection connection) {
        connection.idleTimer = idle.add(connection);
    }

    /** Stops the timer of a connection. */
    void connectionBusy(VirtualConnection connection) {
        idle.remove(connection.idleTimer);
    }

    private static void closeIfIdle(VirtualConnection connection) {
        if (connection.idle) {
            connection.owner.idle.remove(connection);
            connection.close();
        }
    }
}
