package topazvalve.simulation.oracle;

import topazvalve.simulation.scenario.WorkClass;

/**
 * What servers and the client saw of one request; times in nanoseconds of the world's clock. Written by the
 * {@link Oracle} alone.
 */
public final class Trace {
    private static final int KEPT = 6;

    final long id;
    final int instance;
    final WorkClass requestClass;
    final long sentAt;
    final long deadline;
    int attempts;
    boolean carried;
    int mayHaveRun;
    boolean everMayHaveRun;
    long firstAt;
    int pod;
    int zone;
    boolean servedByServer;
    int answers;
    long answeredAt = Long.MAX_VALUE;
    boolean excused;
    /** When its client left; {@link Long#MAX_VALUE} while it waits. */
    long leftAt = Long.MAX_VALUE;

    private final long[] servers = new long[KEPT];
    private final long[] times = new long[KEPT];

    /**
     * A request that a client has sent.
     *
     * @param sentAt when its last byte was written
     * @param deadline until when the client waits
     */
    public Trace(long id, int instance, WorkClass requestClass, long sentAt, long deadline) {
        this.id = id;
        this.instance = instance;
        this.requestClass = requestClass;
        this.sentAt = sentAt;
        this.deadline = deadline;
    }

    /** Its number. */
    public long id() {
        return id;
    }

    /** When it was sent. */
    public long sentAt() {
        return sentAt;
    }

    /** Whether its one answer has come. */
    public boolean answered() {
        return answers > 0;
    }

    /** Attempts that servers have received whole. */
    public int attempts() {
        return attempts;
    }

    void remember(long server, long at) {
        if (attempts <= KEPT) {
            servers[attempts - 1] = server;
            times[attempts - 1] = at;
        }
    }

    /** The request, its attempts and their times, in milliseconds after it was sent. */
    String describe() {
        StringBuilder text = new StringBuilder("request ")
                .append(id)
                .append(" (")
                .append(requestClass.name())
                .append(", instance ")
                .append(instance)
                .append(", sent at ")
                .append(sentAt / 1_000_000)
                .append(" ms, deadline +")
                .append((deadline - sentAt) / 1_000_000)
                .append(')');
        for (int i = 0; i < Math.min(attempts, KEPT); i++) {
            text.append(i == 0 ? "; attempts" : ",")
                    .append(" server ")
                    .append(servers[i])
                    .append(" at +")
                    .append((times[i] - sentAt) / 1_000_000);
        }
        if (answered()) {
            text.append("; answered at +").append((answeredAt - sentAt) / 1_000_000);
        }
        return text.toString();
    }
}
