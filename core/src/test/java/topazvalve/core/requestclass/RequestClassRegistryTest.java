package topazvalve.core.requestclass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import topazvalve.policy.Idempotency;
import topazvalve.policy.KeyScope;
import topazvalve.policy.RequestClass;

/** Tests the numbers of request classes across several configurations. */
class RequestClassRegistryTest {
    private final RequestClassRegistry registry = new RequestClassRegistry();

    private static RequestClass rules(Idempotency idempotency, long deadlineNanos) {
        return new RequestClass(1, 0, deadlineNanos, 1, 0, idempotency, KeyScope.ALL, 0, false);
    }

    @Test
    void classesAreNumberedInOrderOfConfiguration() {
        registry.update(
                List.of("a", "b"), List.of(rules(Idempotency.NON_IDEMPOTENT, 1), rules(Idempotency.IDEMPOTENT, 1)));
        assertEquals(0, registry.find("a").number());
        assertEquals(1, registry.find("b").number());
        assertNull(registry.find("c"));
    }

    /** If a class changes from non-idempotent to idempotent, its open requests must stay non-idempotent. */
    @Test
    void classWithChangedIdempotencyGetsNewNumber() {
        registry.update(List.of("a"), List.of(rules(Idempotency.NON_IDEMPOTENT, 1)));
        registry.update(List.of("a"), List.of(rules(Idempotency.IDEMPOTENT, 1)));
        assertNotEquals(0, registry.find("a").number());
        assertEquals(Idempotency.NON_IDEMPOTENT, registry.rules().get(0).idempotency());
        registry.update(List.of("a"), List.of(rules(Idempotency.NON_IDEMPOTENT, 2)));
        assertEquals(0, registry.find("a").number(), "the original number is used again");
        assertEquals(2, registry.rules().size());
    }

    @Test
    void classWithChangedDeadlineKeepsItsNumber() {
        registry.update(
                List.of("a", "b"), List.of(rules(Idempotency.NON_IDEMPOTENT, 1), rules(Idempotency.NON_IDEMPOTENT, 1)));
        registry.update(List.of("b"), List.of(rules(Idempotency.NON_IDEMPOTENT, 7)));
        assertEquals(1, registry.find("b").number());
        assertEquals(7, registry.rules().get(1).deadlineNanos());
        assertNull(registry.find("a"), "no longer in force");
        assertEquals(2, registry.rules().size(), "still listed for open requests");
    }
}
