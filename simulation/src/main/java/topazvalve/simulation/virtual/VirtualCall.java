package topazvalve.simulation.virtual;

import topazvalve.simulation.oracle.Oracle.Answer;
import topazvalve.simulation.oracle.Trace;

/** One try of a client at an instance, with what the instance needs for its attempts. */
final class VirtualCall {
    /** What the client hears, once. */
    interface Client {
        void answered(VirtualCall call, Answer answer, long wait);
    }

    final long id;
    final int instance;
    final Trace trace;
    final int requestClass;
    final long key;
    final double work;
    final long deadline;
    final boolean retry;
    final Client client;
    /** The first try's time, which the retry's answer is counted against. */
    final long firstAt;

    final VirtualAttempt[] attempts;
    int tries;
    int out;
    boolean over;
    /** Its place in the line of those whose time will be over; -1 for none. */
    long expiry = -1;

    VirtualCall(
            long id,
            int instance,
            Trace trace,
            int requestClass,
            long key,
            double work,
            long deadline,
            boolean retry,
            long firstAt,
            int mostAttempts,
            Client client) {
        this.id = id;
        this.instance = instance;
        this.trace = trace;
        this.requestClass = requestClass;
        this.key = key;
        this.work = work;
        this.deadline = deadline;
        this.retry = retry;
        this.firstAt = firstAt;
        this.attempts = new VirtualAttempt[mostAttempts];
        this.client = client;
    }
}
