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
import topazvalve.core.exchange.ScenarioEvent.EventType;
import topazvalve.policy.Idempotency;

/**
 * Plays every order of events up to a depth against the real core and policy, each from the beginning: the client
 * disconnects, attempts are written, lost, answered, streamed and reset, timers fire, an endpoint drains, settings
 * change, the process stops, and attempts are ordered that should not be. {@code -Dmodel.depth=N} goes deeper.
 */
class ExchangeModelTest {
    private static final int DEPTH = Integer.getInteger("model.depth", 5);
    private static final List<EventType> EVENTS_IN_STALL = List.of(
            EventType.TIMER_FIRED,
            EventType.CLIENT_DISCONNECTED,
            EventType.LOOP_CAUGHT_UP,
            EventType.ENDPOINT_DRAINING,
            EventType.STOPPED);

    private final Set<String> states = new HashSet<>();
    private long playedOrders;

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void everyOrderOfEventsEndsInOneAnswerAndLosesNothing(Idempotency idempotency) {
        for (boolean bodyComplete : new boolean[] {true, false}) {
            for (boolean rogue : new boolean[] {true, false}) {
                explore(idempotency, bodyComplete, rogue, new ArrayList<>());
            }
        }
        System.out.printf(
                "model %s: %,d orders, %,d different states, depth %d%n",
                idempotency, playedOrders, states.size(), DEPTH);
        assertTrue(states.size() > 100, "something happens");
    }

    /** Whatever happens to a request that came in a stall, before the policy was notified of it. */
    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void everyOrderOfEventsInAStallEndsInOneAnswer(Idempotency idempotency) {
        for (boolean bodyComplete : new boolean[] {true, false}) {
            for (ScenarioEvent first :
                    stalledScenario(idempotency, bodyComplete).possibleEvents()) {
                for (EventType second : EVENTS_IN_STALL) {
                    ExchangeScenario scenario = stalledScenario(idempotency, bodyComplete);
                    scenario.play(first);
                    scenario.play(ScenarioEvent.of(second));
                    scenario.settle();
                }
            }
        }
    }

    private static ExchangeScenario stalledScenario(Idempotency idempotency, boolean bodyComplete) {
        return new ExchangeScenario(idempotency, bodyComplete, false, true);
    }

    private void explore(Idempotency idempotency, boolean bodyComplete, boolean rogue, List<ScenarioEvent> path) {
        List<ScenarioEvent> nextEvents;
        try {
            ExchangeScenario scenario = new ExchangeScenario(idempotency, bodyComplete, rogue);
            path.forEach(scenario::play);
            states.add(bodyComplete + " " + rogue + scenario.describeState());
            nextEvents = scenario.possibleEvents();
            scenario.settle();
            playedOrders++;
        } catch (AssertionError | RuntimeException e) {
            String body = bodyComplete ? " complete body " : " arriving body ";
            throw new AssertionError(idempotency + body + (rogue ? "rogue " : "") + path, e);
        }
        if (path.size() < DEPTH) {
            for (ScenarioEvent event : nextEvents) {
                path.add(event);
                explore(idempotency, bodyComplete, rogue, path);
                path.remove(path.size() - 1);
            }
        }
    }

    @Test
    void eventWithoutTransitionThrows() {
        assertNoTransition(ExchangeState.RELEASED, ExchangeState.Event.ATTEMPT_ENDED, 0);
        assertNoTransition(ExchangeState.COMPLETED, ExchangeState.Event.SETTLED, 1);
        assertNoTransition(ExchangeState.RESPONDING, ExchangeState.Event.RESPONSE_STARTED, 2);
        assertNoTransition(ExchangeState.PENDING, ExchangeState.Event.ATTEMPT_ENDED, 0);
    }

    private static void assertNoTransition(ExchangeState state, ExchangeState.Event event, int attemptsInFlight) {
        assertThrows(IllegalTransitionException.class, () -> state.after(event, attemptsInFlight));
    }
}
