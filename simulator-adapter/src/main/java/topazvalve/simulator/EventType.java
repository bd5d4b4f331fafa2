package topazvalve.simulator;

import java.util.Optional;

/** The events that the simulator sends, and the codes of their records. */
enum EventType {
    /** An instance starts, with its settings and its seed. */
    INSTANCE_STARTED(1),
    /** An instance's endpoint list changes, or could not be fetched. */
    ENDPOINTS_UPDATED(2),
    /** A client's request arrives. */
    REQUEST_RECEIVED(3),
    /** A streamed response begins. */
    RESPONSE_STARTED(4),
    /** An attempt ends. */
    ATTEMPT_COMPLETED(5),
    /** A client disconnects. */
    CLIENT_DISCONNECTED(6),
    /** A timer is due. */
    TIMER_FIRED(7),
    /** A health check ends. */
    HEALTH_CHECK_COMPLETED(8),
    /** A gossip message from another instance arrives. */
    GOSSIP_RECEIVED(9),
    /** An instance stops. */
    INSTANCE_STOPPED(10),
    /** An endpoint list is defined, with the number by which later events refer to it. */
    ENDPOINT_LIST_DEFINED(11);

    private static final EventType[] BY_CODE = new EventType[values().length + 1];

    static {
        for (EventType type : values()) {
            BY_CODE[type.code] = type;
        }
    }

    private final int code;

    EventType(int code) {
        this.code = code;
    }

    /** Returns the event type with this code, or empty if the protocol doesn't define the code. */
    static Optional<EventType> fromCode(int code) {
        return code < BY_CODE.length ? Optional.ofNullable(BY_CODE[code]) : Optional.empty();
    }
}
