package topazvalve.core.stream;

/** Pauses and resumes the source of a byte stream. */
public interface FlowControl {
    /** Stops reading because the consumer has buffered as many bytes as it may. */
    void pause();

    /** Continues reading after {@link #pause}. */
    void resume();
}
