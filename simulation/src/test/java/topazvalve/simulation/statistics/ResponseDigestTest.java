package topazvalve.simulation.statistics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;
import topazvalve.simulation.oracle.Oracle.Answer;

/** The digest depends on each response, its time, and the order of responses. */
class ResponseDigestTest {
    private static long digest(long request, Answer answer, long time) {
        ResponseDigest digest = new ResponseDigest();
        digest.add(request, answer, time);
        return digest.value();
    }

    @Test
    void digestDependsOnRequestAnswerAndTime() {
        long first = digest(1, Answer.SERVED, 10);

        assertEquals(first, digest(1, Answer.SERVED, 10));
        assertNotEquals(first, digest(2, Answer.SERVED, 10));
        assertNotEquals(first, digest(1, Answer.FAILED, 10));
        assertNotEquals(first, digest(1, Answer.SERVED, 11));
    }

    @Test
    void digestDependsOnOrder() {
        ResponseDigest inOrder = new ResponseDigest();
        inOrder.add(1, Answer.SERVED);
        inOrder.add(2, Answer.REJECTED);
        ResponseDigest reversed = new ResponseDigest();
        reversed.add(2, Answer.REJECTED);
        reversed.add(1, Answer.SERVED);

        assertNotEquals(inOrder.value(), reversed.value());
    }
}
