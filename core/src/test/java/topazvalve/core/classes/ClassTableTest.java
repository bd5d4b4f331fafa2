package topazvalve.core.classes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import topazvalve.decisions.Balancer.RequestClass;
import topazvalve.decisions.Balancer.Scope;
import topazvalve.decisions.Balancer.Semantics;

/** What a class's number means, over several configurations. */
class ClassTableTest {
    private final ClassTable table = new ClassTable();

    private static RequestClass rules(Semantics semantics, long deadline) {
        return new RequestClass(1, 0, deadline, 1, 0, semantics, Scope.ALL, 0, false);
    }

    @Test
    void numbersFollowTheFirstFile() {
        table.take(List.of("a", "b"), List.of(rules(Semantics.ONCE, 1), rules(Semantics.REPEATABLE, 1)));
        assertEquals(0, table.named("a").number());
        assertEquals(1, table.named("b").number());
        assertNull(table.named("c"));
    }

    /** An unsafe class that becomes repeatable must not make its open requests repeatable. */
    @Test
    void anotherEffectIsAnotherNumber() {
        table.take(List.of("a"), List.of(rules(Semantics.ONCE, 1)));
        table.take(List.of("a"), List.of(rules(Semantics.REPEATABLE, 1)));
        assertNotEquals(0, table.named("a").number());
        assertEquals(Semantics.ONCE, table.rules().get(0).semantics());
        table.take(List.of("a"), List.of(rules(Semantics.ONCE, 2)));
        assertEquals(0, table.named("a").number(), "the first class again");
        assertEquals(2, table.rules().size());
    }

    @Test
    void newFiguresKeepTheNumber() {
        table.take(List.of("a", "b"), List.of(rules(Semantics.ONCE, 1), rules(Semantics.ONCE, 1)));
        table.take(List.of("b"), List.of(rules(Semantics.ONCE, 7)));
        assertEquals(1, table.named("b").number());
        assertEquals(7, table.rules().get(1).deadline());
        assertNull(table.named("a"), "no longer in force");
        assertEquals(2, table.rules().size(), "but still there for what is open");
    }
}
