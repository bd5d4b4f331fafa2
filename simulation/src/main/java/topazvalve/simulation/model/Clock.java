package topazvalve.simulation.model;

/**
 * The time of a simulation and its event queue. Times are nanoseconds from an arbitrary origin and never decrease. A
 * clock and everything that it runs belong to one thread.
 */
public interface Clock {
    /** Returns the current time in nanoseconds. */
    long now();

    /**
     * Schedules an event. An event whose time is past runs as soon as the current event has returned.
     *
     * @param time when to run it, in nanoseconds of this clock
     */
    void scheduleAt(long time, Runnable event);
}
