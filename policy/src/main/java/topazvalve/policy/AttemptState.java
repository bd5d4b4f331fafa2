package topazvalve.policy;

/** One attempt: a request that was forwarded to an endpoint. */
final class AttemptState {
    final EndpointState endpoint;
    final long sentAt;
    final double loadWhenSent; // the endpoint's load without this attempt: as last reported, plus attempts since
    long startedAt; // when the endpoint had the complete request; from then on the attempt is in flight
    int inFlightBefore; // other attempts in flight at the endpoint when this one started
    boolean started; // the endpoint has the complete request; set by AttemptTracker.startAttempt
    boolean settled; // the result was recorded; set by AttemptTracker.settle
    boolean countedInTotal; // counts in the total in-flight count; set by ConcurrencyLimiter
    boolean openStream; // counts as one of the endpoint's open streams
    boolean outstanding = true; // until the host reports its end
    boolean mayHaveRun = true; // until its outcome proves that the server did not run the request

    AttemptState(EndpointState endpoint, long sentAt) {
        this.endpoint = endpoint;
        this.sentAt = sentAt;
        this.startedAt = sentAt;
        this.loadWhenSent = endpoint.reportedLoad++; // counts this attempt for the next one
    }
}
