package topazvalve.simulation.statistics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;
import topazvalve.simulation.oracle.Oracle.Answer;

/** The digest depends on each response, its time and the order. */
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
    void digestDependsOnTheOrder() {
        ResponseDigest forwards = new ResponseDigest();
        forwards.add(1, Answer.SERVED);
        forwards.add(2, Answer.REJECTED);
        ResponseDigest backwards = new ResponseDigest();
        backwards.add(2, Answer.REJECTED);
        backwards.add(1, Answer.SERVED);

        assertNotEquals(forwards.value(), backwards.value());
    }
}
