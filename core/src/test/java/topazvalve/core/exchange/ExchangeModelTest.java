package topazvalve.core.exchange;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import topazvalve.policy.LoadBalancer.Idempotency;

/**
 * Plays every order of events up to a depth against the real core and module, each from the beginning: the
 * client leaves, attempts are written, lost, answered, begun, cut, timers ring, a server drains, settings
 * change, the process stops, a module orders what it should not. {@code -Dmodel.depth=N} goes deeper.
 */
class ExchangeModelTest {
    private static final int DEPTH = Integer.getInteger("model.depth", 5);
    private final Set<String> states = new HashSet<>();
    private long played;

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void everyOrderOfEventsEndsInOneAnswerAndLosesNothing(Idempotency semantics) {
        for (boolean whole : new boolean[] {true, false}) {
            for (boolean rogue : new boolean[] {true, false}) {
                explore(semantics, whole, rogue, new ArrayList<>());
            }
        }
        System.out.printf(
                "model %s: %,d orders, %,d different states, depth %d%n", semantics, played, states.size(), DEPTH);
        assertTrue(states.size() > 100, "something happens");
    }

    /** Whatever happens to a request that came in a stall, before the module has heard of it. */
    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void everyOrderOfEventsInAStallEndsInOneAnswer(Idempotency semantics) {
        for (boolean whole : new boolean[] {true, false}) {
            for (String first : new Scene(semantics, whole, false, true).next()) {
                for (String second : List.of("ring", "hangup", "heard", "drain", "stop")) {
                    Scene scene = new Scene(semantics, whole, false, true);
                    scene.play(first);
                    scene.play(second);
                    scene.settle();
                }
            }
        }
    }

    private void explore(Idempotency semantics, boolean whole, boolean rogue, List<String> path) {
        List<String> next;
        try {
            Scene scene = new Scene(semantics, whole, rogue);
            path.forEach(scene::play);
            states.add(whole + " " + rogue + scene.state());
            next = scene.next();
            scene.settle();
            played++;
        } catch (AssertionError | RuntimeException e) {
            throw new AssertionError(
                    semantics + (whole ? " whole " : " arriving ") + (rogue ? "rogue " : "") + path, e);
        }
        if (path.size() < DEPTH) {
            for (String event : next) {
                path.add(event);
                explore(semantics, whole, rogue, path);
                path.remove(path.size() - 1);
            }
        }
    }

    @Test
    void stepThatCannotBeIsLoud() {
        assertThrows(IllegalStateException.class, () -> ExchangeState.FORGOTTEN.after(ExchangeState.Step.ENDED, 0));
        assertThrows(IllegalStateException.class, () -> ExchangeState.ANSWERED.after(ExchangeState.Step.SETTLED, 1));
        assertThrows(IllegalStateException.class, () -> ExchangeState.ANSWERING.after(ExchangeState.Step.BEGUN, 2));
        assertThrows(IllegalStateException.class, () -> ExchangeState.WAITING.after(ExchangeState.Step.ENDED, 0));
    }
}
