package topazvalve.core.exchange;

/**
 * An event that can happen in an {@link ExchangeScenario}.
 *
 * @param attempt index of the attempt that the event concerns; {@link #NO_ATTEMPT} if it concerns none
 */
record ScenarioEvent(EventType type, int attempt) {
    static final int NO_ATTEMPT = -1;

    /** The type of event. Types from {@code CLIENT_DISCONNECTED} on do not concern an attempt. */
    enum EventType {
        ATTEMPT_WRITTEN,
        CONNECTION_LOST,
        ATTEMPT_REJECTED,
        RESPONSE_RECEIVED,
        ERROR_RECEIVED,
        RESPONSE_STARTED,
        RESPONSE_DATA,
        RESPONSE_COMPLETED,
        CONNECTION_RESET,
        CLIENT_DISCONNECTED,
        BODY_COMPLETED,
        BODY_DROPPED,
        EXTRA_FORWARD,
        TIMER_FIRED,
        LOOP_STALLED,
        LOOP_CAUGHT_UP,
        ENDPOINT_DRAINING,
        SETTINGS_CHANGED,
        STOPPED
    }

    static ScenarioEvent of(EventType type) {
        return new ScenarioEvent(type, NO_ATTEMPT);
    }

    @Override
    public String toString() {
        return attempt == NO_ATTEMPT ? type.name() : type + " of attempt " + attempt;
    }
}
