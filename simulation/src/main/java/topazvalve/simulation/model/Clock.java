package topazvalve.simulation.model;

/** The time of a world, and what is to happen in it. One thread; nanoseconds that never run back. */
public interface Clock {
    /** The present. */
    long now();

    /** Runs {@code event} at a time, or at once after the present event if that time is past. */
    void at(long time, Runnable event);
}
