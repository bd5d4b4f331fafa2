package topazvalve.policy;

/** One forwarding of a request to an endpoint. */
final class AttemptState {
    final EndpointState endpoint;
    final long sentAt;
    final double loadWhenSent; // the endpoint's last reported load, this attempt not included
    long startedAt; // when the endpoint had the complete request; from then on the attempt is in flight
    int inFlightBefore; // other attempts at the endpoint at the start
    boolean started; // the endpoint has the complete request: AttemptTracker.startAttempt
    boolean settled; // its result was counted: AttemptTracker.settle
    boolean countedInTotal; // by ConcurrencyLimiter
    boolean openStream; // counts in the endpoint's open streams
    boolean outstanding = true; // until its end is reported
    boolean mayHaveRun = true; // until its outcome proves the contrary

    AttemptState(EndpointState endpoint, long sentAt) {
        this.endpoint = endpoint;
        this.sentAt = sentAt;
        this.startedAt = sentAt;
        this.loadWhenSent = endpoint.reportedLoad++; // the next attempt finds this one in it
    }
}
