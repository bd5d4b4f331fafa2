package topazvalve.core.exchange;

/**
 * Accepts exchanges from frontends.
 *
 * @param <Q> request of the protocol
 * @param <A> response of the protocol
 */
public interface ExchangeHandler<Q, A> {
    /**
     * Submits an exchange. Its listener gets one final answer, possibly within this call.
     *
     * @return the id for {@link #clientDisconnected}; 0 if the exchange was rejected at once
     */
    long submit(ExchangeRequest<Q> request, ResponseListener<A> listener);

    /**
     * Ends the exchange of a client that has disconnected, with any response that is being streamed. An id that
     * is not known, or whose exchange is answered, is ignored.
     */
    void clientDisconnected(long id);
}
