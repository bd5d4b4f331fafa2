package topazvalve.simulator;

/** The actions that an instance may reply with, and the codes of their records. Code 10 is not assigned. */
enum ActionType {
    FORWARD(1),
    REJECT(2),
    FAIL(3),
    CANCEL_ATTEMPT(4),
    SET_TIMER(5),
    SEND_HEALTH_CHECK(6),
    CLOSE_IDLE_CONNECTIONS(7),
    SEND_GOSSIP(8),
    LOG(9),
    WATCH_ENDPOINTS(11),
    FETCH_ENDPOINTS(12);

    private final int code;

    ActionType(int code) {
        this.code = code;
    }

    /** Returns the code in the header of the action's record. */
    byte code() {
        return (byte) code;
    }
}
