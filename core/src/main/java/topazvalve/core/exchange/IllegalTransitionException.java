package topazvalve.core.exchange;

/** An event that can't happen to an exchange in its state; always a fault of this program. */
final class IllegalTransitionException extends IllegalStateException {
    private static final long serialVersionUID = 1;

    IllegalTransitionException(ExchangeState state, ExchangeState.Event event, int attemptsInFlight) {
        super("no transition from " + state + " on " + event + " with " + attemptsInFlight + " attempts in flight");
    }
}
