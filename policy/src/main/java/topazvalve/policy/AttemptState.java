package topazvalve.policy;

/** One forwarding of a request to an endpoint. */
final class AttemptState {
    final EndpointState endpoint;
    final long sentAt;
    final double loadWhenSent; // as last reported
    long startedAt; // when the endpoint had the complete request; from then on the attempt is in flight
    int inFlightBefore;
    boolean started;
    boolean settled;
    boolean countedInTotal; // by ConcurrencyLimiter
    boolean openStream;
    boolean outstanding = true;
    boolean mayHaveRun = true;

    AttemptState(EndpointState endpoint, long sentAt) {
        this.endpoint = endpoint;
        this.sentAt = sentAt;
        this.startedAt = sentAt;
        this.loadWhenSent = endpoint.reportedLoad++;
    }
}
