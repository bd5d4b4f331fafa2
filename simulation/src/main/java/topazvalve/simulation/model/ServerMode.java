package topazvalve.simulation.model;

/** How an order server treats connections and attempts. */
public enum ServerMode {
    /** It serves. */
    UP,
    /** It takes attempts and never responds. */
    SILENT,
    /** It accepts connections, and nothing else happens. */
    FROZEN,
    /** It refuses new connections. */
    REFUSING,
    /** The process has ended: connections are refused. */
    DOWN,
    /** The machine is unreachable: connections are never established. */
    VANISHED;

    /** Returns whether attempts that reach the server have any effect. */
    boolean takesAttempts() {
        return this != DOWN && this != VANISHED && this != SILENT;
    }

    /** Returns whether the processor works. */
    boolean works() {
        return this == UP || this == REFUSING;
    }
}
