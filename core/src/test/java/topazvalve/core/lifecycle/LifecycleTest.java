package topazvalve.core.lifecycle;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Who may come and who should go, from the start to the end. */
class LifecycleTest {
    private final Lifecycle lifecycle = new Lifecycle();

    @Test
    void takesClientsOnceStartedAndWhileNoLameDuck() {
        assertFalse(lifecycle.acceptsClients(), "not yet warm");
        assertFalse(lifecycle.isDraining());
        lifecycle.markStarted();
        assertTrue(lifecycle.acceptsClients());
        assertTrue(lifecycle.setLameDuck(true));
        assertFalse(lifecycle.acceptsClients());
        assertTrue(lifecycle.isDraining());
        assertTrue(lifecycle.setLameDuck(false));
        assertTrue(lifecycle.acceptsClients());
        assertFalse(lifecycle.closesIdleConnections());
    }

    /** One that is told before it has started stays a lame duck. */
    @Test
    void startDoesNotTurnALameDuckBack() {
        lifecycle.setLameDuck(true);
        lifecycle.markStarted();
        assertFalse(lifecycle.acceptsClients());
    }

    @Test
    void nothingTurnsTheEndBack() {
        lifecycle.markStarted();
        lifecycle.shutDown(1_000_000_000);
        assertFalse(lifecycle.setLameDuck(false));
        assertFalse(lifecycle.acceptsClients());
        assertTrue(lifecycle.isDraining());
    }
}
