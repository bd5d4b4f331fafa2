package topazvalve.sidecar.engine;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import topazvalve.sidecar.metrics.ClassCounts;
import topazvalve.sidecar.upstream.Attempt;

/** One request that is open, or whose last attempt is still out. */
final class Call {
    final Job job;
    final Client client;
    final ClassCounts counts;
    final int tryLimit;
    long deadline;
    final List<Attempt> attempts = new ArrayList<>(1);
    Future<?> timer;
    int out;
    /** The attempt whose answer has begun, which from then on is the client's. */
    Attempt begun;
    boolean over;

    Call(Job job, Client client, ClassCounts counts, int tryLimit) {
        this.job = job;
        this.client = client;
        this.counts = counts;
        this.tryLimit = tryLimit;
    }
}
