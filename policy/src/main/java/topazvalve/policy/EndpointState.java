package topazvalve.policy;

import java.util.ArrayList;
import java.util.List;

/** One endpoint: its entry in the endpoint list, its in-flight counts, and the state that the policy keeps about it. */
final class EndpointState {
    /** Two allow a choice between neighbors; not more, since many sidecars start together. */
    private static final double INITIAL_CONCURRENCY_LIMIT = 2;

    EndpointInfo info;
    int inFlight; // started attempts; written by AttemptTracker, like openStreams
    int openStreams; // attempts whose streamed response has started
    double concurrencyLimit = INITIAL_CONCURRENCY_LIMIT; // written by ConcurrencyLimiter
    long limitReducedAt; // an attempt that was sent earlier does not reduce the limit again
    double reportedLoad = Double.MAX_VALUE; // requests in flight by its last report, plus attempts since; first unknown
    final List<RequestState> awaitingLoadReport = new ArrayList<>(2);
    final OutlierDetector.Evidence evidence = new OutlierDetector.Evidence();
    final long warmAt; // the end of its slow start
    boolean warmingStarted; // written by ConcurrencyLimiter, like the tokens
    double warmingTokens; // in nanoseconds of work
    long tokensAddedAt;
    private double turnCredit; // the sum of the fractions of turns since the last whole turn

    EndpointState(EndpointInfo info, double turnCredit, long now, long warmAt) {
        this.info = info;
        this.turnCredit = turnCredit;
        this.tokensAddedAt = now;
        this.warmAt = warmAt;
    }

    boolean isReady() {
        return info.status() == EndpointStatus.READY;
    }

    int inFlightAndStreams() {
        return inFlight + openStreams;
    }

    /** Adds a fraction of a turn to the credit; returns whether that makes a whole turn, which is then taken. */
    boolean takeTurn(double fraction) {
        turnCredit += fraction;
        boolean takesTurn = turnCredit >= 1;
        turnCredit -= takesTurn ? 1 : 0;
        return takesTurn;
    }
}
