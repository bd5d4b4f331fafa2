package topazvalve.hollowfleet.source;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The times at which calls are answered, and the calls that are rejected. */
class CallQueueTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void answersCallsInOrderAndRejectsThoseThatWouldExceedTheTimeout() {
        CallQueue queue = new CallQueue(4, 0, SECOND);
        for (int i = 1; i <= 5; i++) {
            assertEquals(i * SECOND / 4, queue.add(0, 100));
        }
        assertEquals(CallQueue.REJECTED, queue.add(0, 100));
        assertEquals(6 * SECOND / 4, queue.add(SECOND / 4, 100));
    }

    @Test
    void responseWithManyEndpointsTakesTheTimeOfSeveralCalls() {
        CallQueue queue = new CallQueue(4, 50, 2 * SECOND);
        assertEquals(SECOND / 4, queue.add(0, 50));
        assertEquals(SECOND / 4 + SECOND, queue.add(0, 200));
    }

    @Test
    void unboundedQueueAnswersAtOnce() {
        CallQueue queue = new CallQueue(0, 50, 0);
        assertEquals(7, queue.add(7, 5_700));
        assertEquals(7, queue.add(7, 5_700));
    }
}
