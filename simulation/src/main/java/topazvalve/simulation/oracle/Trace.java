package topazvalve.simulation.oracle;

import topazvalve.simulation.scenario.RequestClassSpec;

/**
 * What servers and the client observed of one request. Times are nanoseconds of the oracle's clock. Only
 * {@link Oracle} modifies it.
 */
public final class Trace {
    private static final int MAX_DESCRIBED_ATTEMPTS = 6;
    private static final long NANOS_PER_MILLI = 1_000_000;

    final long id;
    final int instance;
    final RequestClassSpec requestClass;
    final long sentAt;
    final long deadline;
    int attempts;
    boolean attemptInFlight;
    int attemptsMayHaveRun;
    boolean mayHaveRun;
    long firstRunAt;
    int firstPod;
    int firstZone;
    boolean servedByServer;
    int responses;
    long responseAt = Long.MAX_VALUE;
    boolean responseWaived;
    boolean delayExcused;
    /** When the client disconnected; {@link Long#MAX_VALUE} while it is connected. */
    long disconnectedAt = Long.MAX_VALUE;

    private final long[] servers = new long[MAX_DESCRIBED_ATTEMPTS];
    private final long[] times = new long[MAX_DESCRIBED_ATTEMPTS];

    /**
     * Creates the trace of a request that a client has just sent.
     *
     * @param instance the number of the sidecar instance
     * @param sentAt when its last byte was written
     * @param deadline when the client stops waiting
     */
    public Trace(long id, int instance, RequestClassSpec requestClass, long sentAt, long deadline) {
        this.id = id;
        this.instance = instance;
        this.requestClass = requestClass;
        this.sentAt = sentAt;
        this.deadline = deadline;
    }

    /** Returns the request's number. */
    public long id() {
        return id;
    }

    /** Returns when its last byte was written. */
    public long sentAt() {
        return sentAt;
    }

    /** Returns whether the client has a response. */
    public boolean answered() {
        return responses > 0;
    }

    /** Returns the number of attempts that servers have received completely. */
    public int attempts() {
        return attempts;
    }

    void recordAttempt(long server, long at) {
        if (attempts <= MAX_DESCRIBED_ATTEMPTS) {
            servers[attempts - 1] = server;
            times[attempts - 1] = at;
        }
    }

    /** Returns the request, its attempts and their times in milliseconds after it was sent, as text. */
    String describe() {
        StringBuilder text = new StringBuilder("request ")
                .append(id)
                .append(" (")
                .append(requestClass.name())
                .append(", instance ")
                .append(instance)
                .append(", sent at ")
                .append(sentAt / NANOS_PER_MILLI)
                .append(" ms, deadline +")
                .append((deadline - sentAt) / NANOS_PER_MILLI)
                .append(')');
        for (int i = 0; i < Math.min(attempts, MAX_DESCRIBED_ATTEMPTS); i++) {
            text.append(i == 0 ? "; attempts" : ",")
                    .append(" server ")
                    .append(servers[i])
                    .append(" at +")
                    .append((times[i] - sentAt) / NANOS_PER_MILLI);
        }
        if (answered()) {
            text.append("; answered at +").append((responseAt - sentAt) / NANOS_PER_MILLI);
        }
        return text.toString();
    }
}
