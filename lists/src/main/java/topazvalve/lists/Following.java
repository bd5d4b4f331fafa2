package topazvalve.lists;

import java.util.random.RandomGenerator;

/**
 * Whom a follower asks and when, as a state machine: it follows one of several places, goes on to the next
 * on silence or failure, waits once all have failed, and after a while tries to return to its first.
 * Places are numbered in the follower's own order. Times are in nanoseconds.
 *
 * <p>A place that fails is passed over at once: its followers have different next ones, so that nobody
 * is met by a herd. Once a whole round of places has failed they are in trouble together, and each follower
 * waits half of a time that doubles from {@link #FIRST_PAUSE} to {@link #LONGEST_PAUSE}, and a random part of
 * the other half. The longest is short enough that, with a connect and a call, a change is in force 9 s
 * after places answer again.
 */
public final class Following {
    public static final long FIRST_PAUSE = 250_000_000L;
    public static final long LONGEST_PAUSE = 2_000_000_000L;
    /** From when a follower away from its first place tries it: random up to twice this, against herds. */
    public static final long RETURN_AFTER = 60_000_000_000L;
    /** No place may send its followers away for longer. */
    static final long LONGEST_ASKED = 5_000_000_000L;

    /** What to do next. */
    public sealed interface Order {}

    /** To ask this place after this many nanoseconds; 0 is at once. */
    public record Ask(int place, long after) implements Order {}

    /** To stay as things are. */
    public record Stay() implements Order {}

    private static final Stay STAY = new Stay();

    private enum State {
        ASKING,
        FOLLOWING,
        PAUSING
    }

    private final int places;
    private final RandomGenerator random;
    private State state = State.PAUSING;
    private int place;
    private int failedInRound;
    private int rounds;
    /** The longest that places of this round asked to stay away. */
    private long askedToWait;

    /** Of {@code places} places, one at least; {@code random} is the follower's own. */
    public Following(int places, RandomGenerator random) {
        if (places < 1) {
            throw new IllegalArgumentException("no place to ask");
        }
        this.places = places;
        this.random = random;
    }

    /** Begins, at the first place. */
    public Ask begin() {
        state = State.ASKING;
        place = 0;
        failedInRound = 0;
        rounds = 0;
        askedToWait = 0;
        return new Ask(place, 0);
    }

    /** The place that is asked or followed. */
    public int place() {
        return place;
    }

    public boolean following() {
        return state == State.FOLLOWING;
    }

    /** The place answers: it is followed from now on. */
    public void answered() {
        state = State.FOLLOWING;
        failedInRound = 0;
        rounds = 0;
        askedToWait = 0;
    }

    /** It was followed and has gone or fallen silent, or was asked and failed. */
    public Ask failed() {
        return refused(0);
    }

    /** As {@link #failed}; the place said how long to stay away, in nanoseconds. */
    public Ask refused(long wait) {
        askedToWait = Math.max(askedToWait, Math.min(wait, LONGEST_ASKED));
        place = (place + 1) % places;
        failedInRound++;
        if (failedInRound < places) {
            state = State.ASKING;
            return new Ask(place, 0);
        }
        failedInRound = 0;
        long pause = Math.min(FIRST_PAUSE << Math.min(rounds, 8), LONGEST_PAUSE);
        rounds++;
        state = State.PAUSING;
        long after = Math.max(pause / 2, askedToWait) + random.nextLong(pause / 2 + 1);
        askedToWait = 0;
        return new Ask(place, after);
    }

    /** The pause is over and the place is asked. */
    public void asks() {
        state = State.ASKING;
    }

    /** When to try to return, from now; asked for each time that a place answers or a return has failed. */
    public long returnAfter() {
        return RETURN_AFTER + random.nextLong(RETURN_AFTER + 1);
    }

    /** Whether the first place is to be tried now, beside the one that is followed. */
    public Order mayReturn() {
        return state == State.FOLLOWING && place != 0 ? new Ask(0, 0) : STAY;
    }

    /** The first place answered while another was followed: it is followed instead. */
    public void returned() {
        place = 0;
        answered();
    }
}
