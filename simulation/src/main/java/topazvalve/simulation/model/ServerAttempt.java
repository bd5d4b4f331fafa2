package topazvalve.simulation.model;

/**
 * One attempt as an order server holds it. Whoever carries the answer back extends it. A server tells exactly
 * one of {@link #served}, {@link #declined}, {@link #broken} and {@link #dropped}, or nothing at all: a
 * silent one never does.
 */
public abstract class ServerAttempt {
    final double work;
    final int requestClass;
    final long key;
    final long deadline;
    /** The progress of the processor at which it is done. */
    double finish;
    /** Where it is: null once it is over. */
    OrderServer holder;

    boolean running;

    /**
     * A job that has not been offered yet.
     *
     * @param work nanoseconds of one standard core
     * @param deadline until when its client waits, on the world's clock
     */
    protected ServerAttempt(double work, int requestClass, long key, long deadline) {
        this.work = work;
        this.requestClass = requestClass;
        this.key = key;
        this.deadline = deadline;
    }

    /** It begins to run: from now on it has an effect. */
    protected abstract void began();

    /** It has run; {@code good} is false where the server answers with an error. */
    protected abstract void served(boolean good, boolean spoilt);

    /** Turned away unseen. */
    protected abstract void declined();

    /** Its connection has been broken by the server's end. */
    protected abstract void broken();

    /** Taken off before it ran, after a cancel or past its deadline. */
    protected abstract void dropped();
}
