package topazvalve.discovery.client;

/**
 * Why a {@link DiscoveryCall} ended without success. Failures with the same cause are equal, so that a caller can
 * log a repeated cause only once.
 */
public sealed interface DiscoveryFailure {
    /** Returns the cause as one line of text for the log. */
    String message();

    /**
     * The TCP connection could not be established.
     *
     * @param reason the connect error
     */
    record ConnectFailed(String reason) implements DiscoveryFailure {
        @Override
        public String message() {
            return "connect failed: " + reason;
        }
    }

    /** The connection was closed before the response was complete. */
    record ConnectionClosed() implements DiscoveryFailure {
        @Override
        public String message() {
            return "connection closed";
        }
    }

    /**
     * Reading from the connection or processing the data failed.
     *
     * @param cause the first line of the exception's text
     */
    record ReadFailed(String cause) implements DiscoveryFailure {
        @Override
        public String message() {
            return cause;
        }
    }

    /** The response is not valid HTTP. */
    record MalformedHttp() implements DiscoveryFailure {
        @Override
        public String message() {
            return "malformed HTTP response";
        }
    }

    /**
     * The response has a status other than 200.
     *
     * @param status the HTTP status code
     */
    record BadStatus(int status) implements DiscoveryFailure {
        @Override
        public String message() {
            return "HTTP status " + status;
        }
    }

    /** A watch's response ended, or the response of a fetch ended before its snapshot was complete. */
    record ResponseEnded() implements DiscoveryFailure {
        @Override
        public String message() {
            return "response ended";
        }
    }

    /** No complete update or heartbeat arrived in time. */
    record ResponseOverdue() implements DiscoveryFailure {
        @Override
        public String message() {
            return "no complete response in time";
        }
    }

    /**
     * An established watch received neither a complete update nor a heartbeat for some time.
     *
     * @param idleMillis the idle time in milliseconds
     */
    record IdleWatch(long idleMillis) implements DiscoveryFailure {
        @Override
        public String message() {
            return "endpoint watch idle for " + idleMillis + " ms";
        }
    }

    /** A JSON object was received that is not an endpoint update. */
    record InvalidUpdate() implements DiscoveryFailure {
        @Override
        public String message() {
            return "not an endpoint update";
        }
    }

    /** A full snapshot is empty although endpoints were known before; this is treated as an error of the sender. */
    record EmptySnapshot() implements DiscoveryFailure {
        @Override
        public String message() {
            return "full snapshot is empty";
        }
    }

    /**
     * An update is older than the state it would replace.
     *
     * @param received the version of the update
     * @param current the version of the current state
     */
    record StaleVersion(String received, String current) implements DiscoveryFailure {
        @Override
        public String message() {
            return "version " + received + " is older than " + current;
        }
    }

    /**
     * A delta does not continue the state it would be applied to; a full snapshot is needed.
     *
     * @param received the version of the delta
     * @param current the version of the current state
     */
    record VersionGap(String received, String current) implements DiscoveryFailure {
        @Override
        public String message() {
            return "version " + received + " does not follow " + current;
        }
    }

    /** A heartbeat, which means that nothing has changed, arrived before any update. */
    record UnexpectedHeartbeat() implements DiscoveryFailure {
        @Override
        public String message() {
            return "heartbeat before the first update";
        }
    }
}
