package topazvalve.core.requestclass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import topazvalve.policy.Idempotency;
import topazvalve.policy.KeyScope;
import topazvalve.policy.RequestClass;

/** The numbers of request classes over several configurations. */
class RequestClassRegistryTest {
    private final RequestClassRegistry table = new RequestClassRegistry();

    private static RequestClass rules(Idempotency idempotency, long deadlineNanos) {
        return new RequestClass(1, 0, deadlineNanos, 1, 0, idempotency, KeyScope.ALL, 0, false);
    }

    @Test
    void classesAreNumberedInTheOrderOfTheFirstConfiguration() {
        table.update(
                List.of("a", "b"), List.of(rules(Idempotency.NON_IDEMPOTENT, 1), rules(Idempotency.IDEMPOTENT, 1)));
        assertEquals(0, table.find("a").number());
        assertEquals(1, table.find("b").number());
        assertNull(table.find("c"));
    }

    /** A non-idempotent class that becomes idempotent must not make its open requests idempotent. */
    @Test
    void classWithAnotherEffectGetsAnotherNumber() {
        table.update(List.of("a"), List.of(rules(Idempotency.NON_IDEMPOTENT, 1)));
        table.update(List.of("a"), List.of(rules(Idempotency.IDEMPOTENT, 1)));
        assertNotEquals(0, table.find("a").number());
        assertEquals(Idempotency.NON_IDEMPOTENT, table.rules().get(0).idempotency());
        table.update(List.of("a"), List.of(rules(Idempotency.NON_IDEMPOTENT, 2)));
        assertEquals(0, table.find("a").number(), "the first class again");
        assertEquals(2, table.rules().size());
    }

    @Test
    void classWithOtherDeadlineKeepsItsNumber() {
        table.update(
                List.of("a", "b"), List.of(rules(Idempotency.NON_IDEMPOTENT, 1), rules(Idempotency.NON_IDEMPOTENT, 1)));
        table.update(List.of("b"), List.of(rules(Idempotency.NON_IDEMPOTENT, 7)));
        assertEquals(1, table.find("b").number());
        assertEquals(7, table.rules().get(1).deadlineNanos());
        assertNull(table.find("a"), "no longer in force");
        assertEquals(2, table.rules().size(), "but still listed for open requests");
    }
}
