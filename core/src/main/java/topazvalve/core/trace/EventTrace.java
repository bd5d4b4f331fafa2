package topazvalve.core.trace;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One line for each step of a request, written by the logger {@code trace} while its level is debug: attempts, the
 * connections they use, and the reason of each close, rejection and failure. Off by default, and then without cost but
 * for one comparison.
 */
public final class EventTrace {
    private static final Logger LOG = LoggerFactory.getLogger("trace");
    private static final long NANOS_PER_MICRO = 1_000;

    private EventTrace() {}

    /** The next attempt of a request is started; attempts are numbered from 0. */
    public static void attemptStarted(Object request, int number, long endpoint, long timeoutNanos) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "request {}: attempt {} to endpoint {}, timeout {} us",
                    request,
                    number,
                    endpoint,
                    timeoutNanos / NANOS_PER_MICRO);
        }
    }

    /** An attempt waits for a connection: {@code what} says which. */
    public static void attemptWaits(Object request, long connection, String what) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("request {}: waits for connection {}, {}", request, connection, what);
        }
    }

    /** The event loop has done nothing for this long, except for at most one heartbeat interval. */
    public static void stalled(long nanos) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("event loop stalled for {} us", nanos / NANOS_PER_MICRO);
        }
    }

    /** A client has disconnected before it had its answer. */
    public static void clientDisconnected(Object request) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("request {}: client disconnected", request);
        }
    }

    /** An attempt gets a connection that had carried {@code earlierAttempts} and was idle for this long. */
    public static void connectionLeased(
            Object request, Object address, long connection, int earlierAttempts, long idleNanos) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "request {}: leased connection {} to {}, earlier attempts {}, idle {} us",
                    request,
                    connection,
                    address,
                    earlierAttempts,
                    idleNanos / NANOS_PER_MICRO);
        }
    }

    /** An attempt had a connection but was not written to it. */
    public static void attemptNotWritten(Object request, Object reason) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("request {}: not written, {}", request, reason);
        }
    }

    /** An attempt has ended; {@code written} says whether its last byte had been written. */
    public static void attemptEnded(Object request, Object outcome, boolean written) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("request {}: attempt ended, {}, written {}", request, outcome, written);
        }
    }

    /** A connection is being closed. */
    public static void connectionClosed(long connection, Object address, Object reason, int attempts) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("connection {} to {}: closed, {}, attempts {}", connection, address, reason, attempts);
        }
    }

    /** A request gets its final answer without a response from a server. */
    public static void answered(Object request, String answer, Object reason) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("request {}: {}, {}", request, answer, reason);
        }
    }
}
