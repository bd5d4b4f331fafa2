package topazvalve.sidecar.upstream;

/** What a server has sent behind the declared end of a response. */
enum TrailingData {
    /** Nothing. */
    NONE,
    /** So few bytes that they may be the beginning of a response or not. */
    UNDECIDED,
    /** Another response or its beginning, such as a second copy. It does not make the response before it invalid. */
    RESPONSE,
    /** Bytes that begin no response: they may be the rest of a body that is longer than its head or chunks say. */
    OTHER;

    /** Returns whether further bytes can't change this. */
    boolean isDecided() {
        return this == RESPONSE || this == OTHER;
    }

    /** Returns whether the response ahead of the data may be a part of what the server wrote as its body. */
    boolean mayContinueBody() {
        return this == UNDECIDED || this == OTHER;
    }
}
