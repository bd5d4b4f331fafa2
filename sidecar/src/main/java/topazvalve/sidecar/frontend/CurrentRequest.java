package topazvalve.sidecar.frontend;

import topazvalve.core.exchange.ExchangeHandler;
import topazvalve.core.exchange.ExchangeRequest;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;

/**
 * The request that a client connection serves: its phase, its id and its exchange. The object is reused for all
 * requests of the connection.
 */
final class CurrentRequest {
    /** The value of an exchange id if no exchange is open. */
    private static final long NO_EXCHANGE = 0;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private enum Phase {
        /** There is no valid request. */
        NONE,
        /** A readiness check, which the sidecar answers itself. */
        READINESS_CHECK,
        /** A valid request whose body is neither complete nor fills its quota. */
        UNSUBMITTED,
        /** The request is passed to the exchange handler, which has not yet returned the id of the exchange. */
        SUBMITTED,
        /** The exchange is open; the exchange handler is notified if the client disconnects. */
        EXCHANGE_OPEN
    }

    private final HttpFrontend frontend;
    private final ExchangeHandler<UpstreamRequest, UpstreamResponse> exchangeHandler;
    private Phase phase = Phase.NONE;
    /** The request to submit; null unless the phase is {@link Phase#UNSUBMITTED}. */
    private ExchangeRequest<UpstreamRequest> unsubmitted;
    /** How long the client waits after its last byte, in nanoseconds; valid for a request that is not a check. */
    private long timeoutNanos;
    /** The id that the client gave the request; null for a readiness check. */
    private String requestId;

    private boolean idReserved;
    /** The id of the exchange; valid only while the phase is {@link Phase#EXCHANGE_OPEN}. */
    private long exchangeId;

    CurrentRequest(HttpFrontend frontend, ExchangeHandler<UpstreamRequest, UpstreamResponse> exchangeHandler) {
        this.frontend = frontend;
        this.exchangeHandler = exchangeHandler;
    }

    /** Starts a readiness check. */
    void startReadinessCheck() {
        phase = Phase.READINESS_CHECK;
    }

    /** Starts a valid request; {@code id} is the id that the client gave it. */
    void start(ExchangeRequest<UpstreamRequest> request, String id) {
        phase = Phase.UNSUBMITTED;
        unsubmitted = request;
        timeoutNanos = request.timeoutMillis() * NANOS_PER_MILLI;
        requestId = id;
    }

    /** Returns how long the client waits after the last byte of its request, in nanoseconds. */
    long timeoutNanos() {
        return timeoutNanos;
    }

    /** Returns the id that the client gave the present or the latest request; null before the first. */
    String id() {
        return requestId;
    }

    boolean isReadinessCheck() {
        return phase == Phase.READINESS_CHECK;
    }

    /** Reserves the request's id until {@link #release}; returns false if it is or recently was in use. */
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

    /** Records the id of the submitted request's exchange, which is still open. */
    void exchangeOpened(long id) {
        phase = Phase.EXCHANGE_OPEN;
        exchangeId = id;
    }

    /** Returns the id of the open exchange, to pass to {@link #notifyDisconnected} once the request is released. */
    long openExchange() {
        return phase == Phase.EXCHANGE_OPEN ? exchangeId : NO_EXCHANGE;
    }

    /** Notifies the exchange handler that the client has disconnected, if an exchange was open. */
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
