package topazvalve.relay;

/** Why a relay rejects a request or ends a subscription. The response bodies are part of the wire protocol. */
enum RejectionReason {
    /** The maximum number of connections is open. */
    TOO_MANY_SUBSCRIBERS("full\n"),
    /** Too many older snapshots are still being written to slow subscribers. */
    TOO_MANY_SNAPSHOTS("too many whole lists are being sent\n"),
    /** No source is healthy, so the relay cannot tell whether its list is up to date. */
    NO_HEALTHY_SOURCE("no source is heard\n"),
    /** A source has not sent a snapshot yet, so the list would lack its endpoints. */
    INCOMPLETE_LIST("not every source was heard yet\n"),
    /** The subscriber has a later version than this relay. */
    SUBSCRIBER_AHEAD("behind what you have\n");

    private final String responseBody;

    RejectionReason(String responseBody) {
        this.responseBody = responseBody;
    }

    /** Returns the body of the response, one line of text. */
    String responseBody() {
        return responseBody;
    }
}
