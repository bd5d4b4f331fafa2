package topazvalve.core.exchange;

/**
 * Accepts exchanges from frontends.
 *
 * @param <Q> request type of the protocol
 * @param <A> response type of the protocol
 */
public interface ExchangeHandler<Q, A> {
    /**
     * Submits an exchange. Its listener receives exactly one final answer, possibly within this call.
     *
     * @return the id for {@link #clientDisconnected}; 0 if the exchange was rejected immediately
     */
    long submit(ExchangeRequest<Q> request, ResponseListener<A> listener);

    /**
     * Ends the exchange of a client that has disconnected, including a response that is being streamed. Does nothing if
     * the id is unknown or the exchange is already answered.
     */
    void clientDisconnected(long id);
}
