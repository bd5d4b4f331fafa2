package topazvalve.core.lifecycle;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Who may come and who should go, from the start to the end. */
class LifecycleTest {
    private final Lifecycle lifecycle = new Lifecycle();

    @Test
    void takesClientsOnceStartedAndWhileNoLameDuck() {
        assertFalse(lifecycle.takesClients(), "not yet warm");
        assertFalse(lifecycle.emptying());
        lifecycle.started();
        assertTrue(lifecycle.takesClients());
        assertTrue(lifecycle.lameDuck(true));
        assertFalse(lifecycle.takesClients());
        assertTrue(lifecycle.emptying());
        assertTrue(lifecycle.lameDuck(false));
        assertTrue(lifecycle.takesClients());
        assertFalse(lifecycle.closesIdle());
    }

    /** One that is told before it has started stays a lame duck. */
    @Test
    void startDoesNotTurnALameDuckBack() {
        lifecycle.lameDuck(true);
        lifecycle.started();
        assertFalse(lifecycle.takesClients());
    }

    @Test
    void nothingTurnsTheEndBack() {
        lifecycle.started();
        lifecycle.end(1_000_000_000);
        assertFalse(lifecycle.lameDuck(false));
        assertFalse(lifecycle.takesClients());
        assertTrue(lifecycle.emptying());
    }
}
