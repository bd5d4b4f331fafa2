package topazvalve.simulation.model;

/**
 * One attempt as an order server holds it. The sender extends this class to receive the outcome. A server calls
 * exactly one of {@link #completed}, {@link #rejected}, {@link #reset} and {@link #discarded}, or none at all: a silent
 * server never responds.
 */
public abstract class ServerAttempt {
    /** The work of a health check in nanoseconds of a standard core. */
    protected static final double HEALTH_CHECK_WORK = 130_000;

    final double work;
    final int requestClass;
    final long key;
    final long deadline;
    /** The value of the processor's progress at which it is finished. */
    double finishProgress;
    /** The server that holds it; null if none does. */
    OrderServer server;

    boolean running;

    /**
     * Creates an attempt that has not reached a server yet.
     *
     * @param work its work in nanoseconds of a standard core
     * @param requestClass the index of its request's class in the scenario
     * @param key its idempotency key; 0 for none
     * @param deadline when its client stops waiting, in nanoseconds of the clock
     */
    protected ServerAttempt(double work, int requestClass, long key, long deadline) {
        this.work = work;
        this.requestClass = requestClass;
        this.key = key;
        this.deadline = deadline;
    }

    /** The server has started it: from now on it may have side effects. */
    protected abstract void started();

    /**
     * The server has finished it.
     *
     * @param success false if the response is an error
     * @param corrupted whether the response is corrupted
     */
    protected abstract void completed(boolean success, boolean corrupted);

    /** The server has rejected it without running it. */
    protected abstract void rejected();

    /** The server has reset its connection. */
    protected abstract void reset();

    /** The server has removed it, after a cancellation or because its deadline passed before it started. */
    protected abstract void discarded();
}
