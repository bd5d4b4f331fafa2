package topazvalve.core.stream;

/** Where bytes come from that are passed on as they come. */
public interface FlowControl {
    /** Stops reading: whoever takes the bytes has as many as it may hold. */
    void pause();

    /** Reads on. */
    void resume();
}
