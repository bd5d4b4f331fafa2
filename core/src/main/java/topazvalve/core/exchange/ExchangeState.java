package topazvalve.core.exchange;

/**
 * Where an exchange is in its life, and every step that it can take. A step that is not listed is a fault of
 * this program and told as one. Attempts that are still out after the final answer keep the exchange known:
 * each of their ends is owed to the decision module.
 *
 * <pre>
 * TAKEN      told     WAITING     the decision module knows of it
 * WAITING    sent     OUT         an attempt is out
 * OUT        sent     OUT         one more
 * OUT        ended    OUT         others are still out
 * OUT        ended    WAITING     that was the last one out
 * OUT        begun    ANSWERING   the answer has begun and belongs to the client
 * ANSWERING  sent     ANSWERING   an order that comes too late: it never sets out
 * ANSWERING  ended    ANSWERING   any attempt; the answering one is followed by answered at once
 * any of the above    answered    ANSWERED    served, finished, cut, refused, failed or hung up
 * ANSWERED   told, sent, ended    ANSWERED    what was on its way
 * ANSWERED   settled  FORGOTTEN   no attempt is out
 * </pre>
 */
enum ExchangeState {
    TAKEN,
    WAITING,
    OUT,
    ANSWERING,
    ANSWERED,
    FORGOTTEN;

    /** What happens to an exchange. */
    enum Step {
        TOLD,
        SENT,
        ENDED,
        BEGUN,
        ANSWERED,
        SETTLED
    }

    /** Whether the client is still owed an answer, or the rest of one. */
    boolean open() {
        return this != ANSWERED && this != FORGOTTEN;
    }

    /** The phase after a step; {@code out} attempts are out after it. */
    ExchangeState after(Step step, int out) {
        ExchangeState next = switch (this) {
            case TAKEN -> step == Step.TOLD ? WAITING : step == Step.ANSWERED ? ANSWERED : null;
            case WAITING -> step == Step.SENT ? OUT : step == Step.ANSWERED ? ANSWERED : null;
            case OUT ->
                switch (step) {
                    case SENT -> OUT;
                    case ENDED -> out == 0 ? WAITING : OUT;
                    case BEGUN -> ANSWERING;
                    case ANSWERED -> ANSWERED;
                    default -> null;
                };
            case ANSWERING ->
                switch (step) {
                    case SENT, ENDED -> ANSWERING;
                    case ANSWERED -> ANSWERED;
                    default -> null;
                };
            case ANSWERED ->
                switch (step) {
                    case TOLD, SENT, ENDED -> ANSWERED;
                    case SETTLED -> out == 0 ? FORGOTTEN : null;
                    default -> null;
                };
            case FORGOTTEN -> null;
        };
        if (next == null) {
            throw new IllegalStateException(this + " can't be " + step + " with " + out + " out");
        }
        return next;
    }
}
