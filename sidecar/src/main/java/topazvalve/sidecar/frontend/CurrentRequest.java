package topazvalve.sidecar.frontend;

import topazvalve.core.exchange.ExchangeHandler;
import topazvalve.core.exchange.ExchangeRequest;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;

/**
 * The request that a client connection serves: its phase, its id and its exchange. One object serves all requests
 * of a connection, one after the other.
 */
final class CurrentRequest {
    /** Stands for the id of an exchange where none is open. */
    private static final long NO_EXCHANGE = 0;

    private enum Phase {
        /** There is no valid request. */
        NONE,
        /** A readiness check, which the sidecar answers itself. */
        READINESS_CHECK,
        /** A valid request that waits for its body, or for as much of it as may be held. */
        UNSUBMITTED,
        /** The exchange handler was given the request, and has not yet returned its exchange. */
        SUBMITTED,
        /** The exchange handler is notified if the client disconnects. */
        EXCHANGE_OPEN
    }

    private final HttpFrontend frontend;
    private final ExchangeHandler<UpstreamRequest, UpstreamResponse> exchangeHandler;
    private Phase phase = Phase.NONE;
    /** What is to be submitted; null unless the phase is {@link Phase#UNSUBMITTED}. */
    private ExchangeRequest<UpstreamRequest> unsubmitted;
    /** The client's id of the request; null for a readiness check. */
    private String requestId;

    private boolean idReserved;
    /** The exchange handler's id of the exchange; valid only while the phase is {@link Phase#EXCHANGE_OPEN}. */
    private long exchangeId;

    CurrentRequest(HttpFrontend frontend, ExchangeHandler<UpstreamRequest, UpstreamResponse> exchangeHandler) {
        this.frontend = frontend;
        this.exchangeHandler = exchangeHandler;
    }

    /** Starts with a readiness check. */
    void startReadinessCheck() {
        phase = Phase.READINESS_CHECK;
    }

    /** Starts with a valid request, which the client calls {@code id}. */
    void start(ExchangeRequest<UpstreamRequest> request, String id) {
        phase = Phase.UNSUBMITTED;
        unsubmitted = request;
        requestId = id;
    }

    boolean isReadinessCheck() {
        return phase == Phase.READINESS_CHECK;
    }

    /** Reserves the request's id until {@link #release}; returns false if it is in use or was so recently. */
    boolean reserveId() {
        idReserved = frontend.reserveRequestId(requestId);
        return idReserved;
    }

    /** Marks the request as submitted and returns it for the caller to submit; called once per request. */
    ExchangeRequest<UpstreamRequest> takeForSubmission() {
        ExchangeRequest<UpstreamRequest> submitted = unsubmitted;
        unsubmitted = null;
        phase = Phase.SUBMITTED;
        return submitted;
    }

    /** Records the exchange of the submitted request, which has not ended yet. */
    void exchangeOpened(long id) {
        phase = Phase.EXCHANGE_OPEN;
        exchangeId = id;
    }

    /** Returns what to give {@link #notifyDisconnected} once the request is released. */
    long openExchange() {
        return phase == Phase.EXCHANGE_OPEN ? exchangeId : NO_EXCHANGE;
    }

    /** Tells the exchange handler that the client has left the exchange, if one was open. */
    void notifyDisconnected(long openExchange) {
        if (openExchange != NO_EXCHANGE) {
            exchangeHandler.clientDisconnected(openExchange);
        }
    }

    /** Ends the request, if there is one, and releases its id. */
    void release() {
        if (idReserved) {
            frontend.releaseRequestId(requestId);
            idReserved = false;
        }
        unsubmitted = null;
        phase = Phase.NONE;
    }
}
