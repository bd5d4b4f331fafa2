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
 * Model test: plays every sequence of events up to a maximum length against the real core and policy, each from the
 * initial state. The client disconnects; attempts are written, lost, answered, streamed and reset; timers fire; an
 * endpoint drains; settings change; the process stops; and attempts are forwarded that the policy did not order.
 * {@code -Dmodel.depth=N} sets the maximum length.
 */
class ExchangeModelTest {
    private static final int MAX_DEPTH = Integer.getInteger("model.depth", 5);
    private static final List<EventType> EVENTS_DURING_STALL = List.of(
            EventType.TIMER_FIRED,
            EventType.CLIENT_DISCONNECTED,
            EventType.LOOP_CAUGHT_UP,
            EventType.ENDPOINT_DRAINING,
            EventType.STOPPED);

    private final Set<String> states = new HashSet<>();
    private long playedSequences;

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void everyEventSequenceEndsWithOneAnswerAndNoLeak(Idempotency idempotency) {
        for (boolean bodyComplete : new boolean[] {true, false}) {
            for (boolean extraForwards : new boolean[] {true, false}) {
                explore(idempotency, bodyComplete, extraForwards, new ArrayList<>());
            }
        }
        System.out.printf(
                "model %s: %,d event sequences, %,d distinct states, depth %d%n",
                idempotency, playedSequences, states.size(), MAX_DEPTH);
        assertTrue(states.size() > 100, "too few distinct states: " + states.size());
    }

    /** Covers events between the submission of a request during a stall and the notification of the policy. */
    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void everyEventSequenceDuringAStallEndsWithOneAnswer(Idempotency idempotency) {
        for (boolean bodyComplete : new boolean[] {true, false}) {
            for (ScenarioEvent first :
                    stalledScenario(idempotency, bodyComplete).possibleEvents()) {
                for (EventType second : EVENTS_DURING_STALL) {
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

    private void explore(
            Idempotency idempotency, boolean bodyComplete, boolean extraForwards, List<ScenarioEvent> path) {
        List<ScenarioEvent> nextEvents;
        try {
            ExchangeScenario scenario = new ExchangeScenario(idempotency, bodyComplete, extraForwards);
            path.forEach(scenario::play);
            states.add(bodyComplete + " " + extraForwards + scenario.describeState());
            nextEvents = scenario.possibleEvents();
            scenario.settle();
            playedSequences++;
        } catch (AssertionError | RuntimeException e) {
            String body = bodyComplete ? " complete body " : " incomplete body ";
            throw new AssertionError(idempotency + body + (extraForwards ? "extra forwards " : "") + path, e);
        }
        if (path.size() < MAX_DEPTH) {
            for (ScenarioEvent event : nextEvents) {
                path.add(event);
                explore(idempotency, bodyComplete, extraForwards, path);
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
