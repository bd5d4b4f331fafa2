package topazvalve.relay;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import java.util.random.RandomGenerator;

/** Rejects requests with a random {@code Retry-After}, so that rejected clients do not all retry at once. */
final class RequestRejector {
    private static final double MIN_RETRY_AFTER_SECONDS = 0.25;

    private final RandomGenerator random;
    private final RelayMetrics metrics;

    RequestRejector(RandomGenerator random, RelayMetrics metrics) {
        this.random = random;
        this.metrics = metrics;
    }

    /** Counts the rejection and ends the connection as {@link #disconnect} does. */
    void reject(Subscriber subscriber, RejectionReason reason) {
        metrics.countRejected(reason);
        disconnect(subscriber, reason);
    }

    /** Ends a connection: with a 503 response, or by closing it if a response has already been started. */
    void disconnect(Subscriber subscriber, RejectionReason reason) {
        if (subscriber.isResponseStarted()) {
            subscriber.close();
        } else {
            subscriber.respondAndClose(ResponseEncoder.encode(
                    HttpResponseStatus.SERVICE_UNAVAILABLE, nextRetryAfterSeconds(), reason.responseBody()));
        }
    }

    /** Returns a random delay between 0.25 and 1.25 s. */
    private String nextRetryAfterSeconds() {
        return String.format(Locale.ROOT, "%.2f", MIN_RETRY_AFTER_SECONDS + random.nextDouble());
    }
}
