package topazvalve.core.exchange;

/** Where fronts bring exchanges. */
public interface ExchangeHandler<Q, A> {
    /**
     * Takes one; its client is told of one final answer, perhaps within this call. Returns the number under
     * which {@link #clientDisconnected} knows it, 0 if it was refused at once.
     */
    long submit(ExchangeRequest<Q> job, ResponseListener<A> client);

    /** The client has gone away. An answer that has begun goes with it. */
    void clientDisconnected(long id);
}
