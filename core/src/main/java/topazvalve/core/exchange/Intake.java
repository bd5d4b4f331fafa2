package topazvalve.core.exchange;

/** Where fronts bring exchanges. */
public interface Intake<Q, A> {
    /**
     * Takes one; its client is told of one final answer, perhaps within this call. Returns the number under
     * which {@link #hangup} knows it, 0 if it was refused at once.
     */
    long submit(Job<Q> job, Client<A> client);

    /** The client has gone away. An answer that has begun goes with it. */
    void hangup(long id);
}
