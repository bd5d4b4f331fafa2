package topazvalve.simulation.model;

import topazvalve.simulation.scenario.MachineKind;

/** The connections of an order server: their number, which is bounded, and the work of accepting them. */
final class ConnectionCounter {
    private final MachineKind kind;
    private int open;
    private int incarnation;
    /** Work of accepting connections that is added to the work of the next attempt that starts. */
    private double pendingWork;

    ConnectionCounter(MachineKind kind) {
        this.kind = kind;
    }

    /** Accepts a connection, or returns false if there are as many as the kind of machine can hold. */
    boolean accept() {
        if (open >= kind.maxConnections()) {
            return false;
        }
        open++;
        pendingWork += kind.connectionCost();
        return true;
    }

    /** A connection has closed; ignored if the process that accepted it has ended. */
    void closed(int acceptingIncarnation) {
        if (acceptingIncarnation == incarnation) {
            open--;
        }
    }

    /** The process has ended, and all connections with it. */
    void processEnded() {
        open = 0;
        incarnation++;
    }

    /** Returns the number of open connections. */
    int open() {
        return open;
    }

    /** Returns how many processes have ended before the current one. */
    int incarnation() {
        return incarnation;
    }

    /**
     * Returns the work of accepting connections since the last call, in nanoseconds of a standard core (one of speed 1,
     * see {@link ServerSpeed}).
     */
    double takePendingWork() {
        double work = pendingWork;
        pendingWork = 0;
        return work;
    }
}
