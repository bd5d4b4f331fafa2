package topazvalve.core.exchange;

/** Thrown for an event that is not allowed in the current state of an exchange; always indicates a bug. */
final class IllegalTransitionException extends IllegalStateException {
    private static final long serialVersionUID = 1;

    IllegalTransitionException(ExchangeState state, ExchangeState.Event event, int attemptsInFlight) {
        super("no transition from " + state + " on " + event + " with " + attemptsInFlight + " attempts in flight");
    }
}
