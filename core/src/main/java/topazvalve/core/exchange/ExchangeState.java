package topazvalve.core.exchange;

/**
 * The state of an exchange and its transitions. An event without a transition indicates a bug. Attempts that are still
 * in flight after the final answer keep the exchange tracked, because the policy has to be notified of the end of
 * each.
 *
 * <pre>
 * state       event              next state
 * RECEIVED    POLICY_NOTIFIED    PENDING     the policy is notified of the exchange
 * PENDING     ATTEMPT_ADDED      ATTEMPTING  the policy has ordered an attempt
 * ATTEMPTING  ATTEMPT_ADDED      ATTEMPTING  the policy has ordered another attempt
 * ATTEMPTING  ATTEMPT_ENDED      ATTEMPTING  others are still in flight
 * ATTEMPTING  ATTEMPT_ENDED      PENDING     it was the last one in flight
 * ATTEMPTING  RESPONSE_STARTED   RESPONDING  a response is being streamed to the client
 * RESPONDING  ATTEMPT_ADDED      RESPONDING  ordered too late: the attempt is not started
 * RESPONDING  ATTEMPT_ENDED      RESPONDING  any attempt; for the responding one ANSWERED follows at once
 * any above   ANSWERED           COMPLETED   served, aborted, rejected, failed or disconnected
 * COMPLETED   POLICY_NOTIFIED, ATTEMPT_ADDED, ATTEMPT_ENDED
 *                                COMPLETED   events that were queued or in progress
 * COMPLETED   SETTLED            RELEASED    no attempt is in flight
 * </pre>
 */
enum ExchangeState {
    RECEIVED,
    PENDING,
    ATTEMPTING,
    RESPONDING,
    COMPLETED,
    RELEASED;

    /** An event in the life of an exchange. */
    enum Event {
        POLICY_NOTIFIED,
        ATTEMPT_ADDED,
        ATTEMPT_ENDED,
        RESPONSE_STARTED,
        ANSWERED,
        SETTLED
    }

    /** Returns whether the client is still waiting for an answer or for the rest of one. */
    boolean isOpen() {
        return this != COMPLETED && this != RELEASED;
    }

    /**
     * Returns the state after an event.
     *
     * @param attemptsInFlight number of attempts in flight after the event
     * @throws IllegalTransitionException if the event is not allowed in this state
     */
    ExchangeState after(Event event, int attemptsInFlight) {
        ExchangeState next = nextOrNull(event, attemptsInFlight);
        if (next == null) {
            throw new IllegalTransitionException(this, event, attemptsInFlight);
        }
        return next;
    }

    private ExchangeState nextOrNull(Event event, int attemptsInFlight) {
        return switch (this) {
            case RECEIVED ->
                switch (event) {
                    case POLICY_NOTIFIED -> PENDING;
                    case ANSWERED -> COMPLETED;
                    default -> null;
                };
            case PENDING ->
                switch (event) {
                    case ATTEMPT_ADDED -> ATTEMPTING;
                    case ANSWERED -> COMPLETED;
                    default -> null;
                };
            case ATTEMPTING ->
                switch (event) {
                    case ATTEMPT_ADDED -> ATTEMPTING;
                    case ATTEMPT_ENDED -> attemptsInFlight == 0 ? PENDING : ATTEMPTING;
                    case RESPONSE_STARTED -> RESPONDING;
                    case ANSWERED -> COMPLETED;
                    default -> null;
                };
            case RESPONDING ->
                switch (event) {
                    case ATTEMPT_ADDED, ATTEMPT_ENDED -> RESPONDING;
                    case ANSWERED -> COMPLETED;
                    default -> null;
                };
            case COMPLETED ->
                switch (event) {
                    case POLICY_NOTIFIED, ATTEMPT_ADDED, ATTEMPT_ENDED -> COMPLETED;
                    case SETTLED -> attemptsInFlight == 0 ? RELEASED : null;
                    default -> null;
                };
            case RELEASED -> null;
        };
    }
}
