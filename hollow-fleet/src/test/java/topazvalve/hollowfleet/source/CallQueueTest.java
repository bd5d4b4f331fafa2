package topazvalve.hollowfleet.source;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class CallQueueTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void callsAreAnsweredInTurnAndRefusedOnceTheWaitIsTooLong() {
        CallQueue queue = new CallQueue(4, 0, SECOND);
        for (int i = 1; i <= 5; i++) {
            assertEquals(i * SECOND / 4, queue.answered(0, 100));
        }
        assertEquals(-1, queue.answered(0, 100));
        assertEquals(6 * SECOND / 4, queue.answered(SECOND / 4, 100));
    }

    @Test
    void anAnswerOfManyEntriesTakesTheTimeOfMoreCalls() {
        CallQueue queue = new CallQueue(4, 50, 2 * SECOND);
        assertEquals(SECOND / 4, queue.answered(0, 50));
        assertEquals(SECOND / 4 + SECOND, queue.answered(0, 200));
    }

    @Test
    void whatIsUnboundedIsAnsweredAtOnce() {
        CallQueue queue = new CallQueue(0, 50, 0);
        assertEquals(7, queue.answered(7, 5_700));
        assertEquals(7, queue.answered(7, 5_700));
    }
}
