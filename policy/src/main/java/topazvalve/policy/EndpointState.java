package topazvalve.policy;

import java.util.ArrayList;
import java.util.List;

/** One endpoint: its entry in the list, its in-flight counts, and what each part of the policy knows of it. */
final class EndpointState {
    EndpointInfo info;
    int inFlight; // written by AttemptTracker, like the streams
    int openStreams; // attempts whose streamed response has started
    double concurrencyLimit = 2; // allows a choice of two; many sidecars start together
    long limitReducedAt; // attempts sent before do not reduce the limit again
    double reportedLoad = Double.MAX_VALUE; // unknown; set by LoadProbing, counted up by each attempt
    final List<RequestState> awaitingReport = new ArrayList<>(2);
    final OutlierDetector.Evidence evidence = new OutlierDetector.Evidence();
    final long warmAt; // end of its slow start
    boolean warmingStarted; // this and the tokens are written by ConcurrencyLimiter
    double warmingTokens; // nanoseconds of work
    long tokensAddedAt;
    private double turnCredit; // fractions of turns saved up

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

    boolean takeTurn(double fraction) {
        turnCredit += fraction;
        boolean takesTurn = turnCredit >= 1;
        turnCredit -= takesTurn ? 1 : 0;
        return takesTurn;
    }
}
