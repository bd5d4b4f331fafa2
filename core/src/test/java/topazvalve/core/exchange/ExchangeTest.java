package topazvalve.core.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import topazvalve.core.requestclass.RequestClassRegistry;
import topazvalve.core.stream.RequestBody;
import topazvalve.policy.Idempotency;
import topazvalve.policy.KeyScope;
import topazvalve.policy.Outcome;
import topazvalve.policy.RequestClass;

class ExchangeTest {
    private static final long KEY_TTL_NANOS = 700;
    private static final long UNLIMITED = Long.MAX_VALUE;

    private static Exchange<String, String> exchange(Idempotency idempotency) {
        RequestClass rules = new RequestClass(1, 0, 1_000, 1, 0, idempotency, KeyScope.ALL, KEY_TTL_NANOS, false);
        ExchangeRequest<String> request = new ExchangeRequest<>(
                new RequestClassRegistry.Entry(0, "class", rules),
                0,
                0,
                1,
                0,
                false,
                true,
                "message",
                RequestBody.of(new byte[0]));
        Exchange<String, String> exchange = new Exchange<>(1, request, null, null, 4, 1);
        exchange.policyNotified();
        return exchange;
    }

    /** Guards against a repeat after the lifetime of its key, which begins with the first attempt that may have run. */
    @Test
    void repeatsOfAKeyedRequestEndWithTheLifetimeOfItsKey() {
        Exchange<String, String> exchange = exchange(Idempotency.IDEMPOTENCY_KEY);
        assertEquals(UNLIMITED, exchange.latestStartNanos());
        exchange.attemptEnded(exchange.addAttempt(1_000), Outcome.CONNECT_FAILED);
        assertEquals(UNLIMITED, exchange.latestStartNanos(), "it never ran");
        exchange.attemptEnded(exchange.addAttempt(2_000), Outcome.RESET);
        exchange.attemptEnded(exchange.addAttempt(2_100), Outcome.ERROR);
        assertEquals(2_000 + KEY_TTL_NANOS, exchange.latestStartNanos());
    }

    @Test
    void attemptsOfOtherRequestsAreNotLimitedByAKey() {
        Exchange<String, String> exchange = exchange(Idempotency.IDEMPOTENT);
        exchange.attemptEnded(exchange.addAttempt(1_000), Outcome.RESET);
        assertEquals(UNLIMITED, exchange.latestStartNanos());
    }
}
