package topazvalve.core.stream;

/** Pauses and resumes the source of a stream of bytes. */
public interface FlowControl {
    /** Stops reading, because the consumer has as many bytes as it may buffer. */
    void pause();

    /** Continues reading after {@link #pause}. */
    void resume();
}
