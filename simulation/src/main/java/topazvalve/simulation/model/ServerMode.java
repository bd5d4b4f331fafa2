package topazvalve.simulation.model;

/** How an order server treats connections and attempts. */
public enum ServerMode {
    /** It serves attempts. */
    UP,
    /** It receives attempts and never responds. */
    SILENT,
    /** It accepts connections and attempts, but its processor is stopped. */
    FROZEN,
    /** It refuses new connections. */
    REFUSING,
    /** The process has ended: connections are refused. */
    DOWN,
    /** The machine is unreachable: connections are never established. */
    VANISHED;

    /** Returns whether the server processes attempts that reach it. */
    boolean takesAttempts() {
        return this != DOWN && this != VANISHED && this != SILENT;
    }

    /** Returns whether the processor runs. */
    boolean isProcessing() {
        return this == UP || this == REFUSING;
    }
}
