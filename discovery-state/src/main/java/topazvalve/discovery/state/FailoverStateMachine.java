package topazvalve.discovery.state;

import java.util.random.RandomGenerator;

/**
 * Whom a follower asks and when, as a state machine: it follows one of several places, goes on to the next
 * on silence or failure, waits once all have failed, and after a while tries to return to its first.
 * Places are numbered in the follower's own order. Times are in nanoseconds.
 *
 * <p>A place that fails is passed over at once: its followers have different next ones, so that nobody
 * is met by a herd. Once a whole round of places has failed they are in trouble together, and each follower
 * waits half of a time that doubles from {@link #INITIAL_BACKOFF_NANOS} to {@link #MAX_BACKOFF_NANOS}, and a
 * random part of
 * the other half. The longest is short enough that, with a connect and a call, a change is in force 9 s
 * after places answer again.
 */
public final class FailoverStateMachine {
    public static final long INITIAL_BACKOFF_NANOS = 250_000_000L;
    public static final long MAX_BACKOFF_NANOS = 2_000_000_000L;
    /** From when a follower away from its first place tries it: random up to twice this, against herds. */
    public static final long FAILBACK_AFTER_NANOS = 60_000_000_000L;
    /** No place may send its followers away for longer. */
    static final long MAX_RETRY_AFTER_NANOS = 5_000_000_000L;

    /** What to do next. */
    public sealed interface Action {}

    /** To ask this place after this many nanoseconds; 0 is at once. */
    public record Connect(int index, long delayNanos) implements Action {}

    /** To stay as things are. */
    public record Remain() implements Action {}

    private static final Remain STAY = new Remain();

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
    public FailoverStateMachine(int places, RandomGenerator random) {
        if (places < 1) {
            throw new IllegalArgumentException("no place to ask");
        }
        this.places = places;
        this.random = random;
    }

    /** Begins, at the first place. */
    public Connect start() {
        state = State.ASKING;
        place = 0;
        failedInRound = 0;
        rounds = 0;
        askedToWait = 0;
        return new Connect(place, 0);
    }

    /** The place that is asked or followed. */
    public int currentIndex() {
        return place;
    }

    public boolean isFollowing() {
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
    public Connect failed() {
        return rejected(0);
    }

    /** As {@link #failed}; the place said how long to stay away, in nanoseconds. */
    public Connect rejected(long wait) {
        askedToWait = Math.max(askedToWait, Math.min(wait, MAX_RETRY_AFTER_NANOS));
        place = (place + 1) % places;
        failedInRound++;
        if (failedInRound < places) {
            state = State.ASKING;
            return new Connect(place, 0);
        }
        failedInRound = 0;
        long pause = Math.min(INITIAL_BACKOFF_NANOS << Math.min(rounds, 8), MAX_BACKOFF_NANOS);
        rounds++;
        state = State.PAUSING;
        long after = Math.max(pause / 2, askedToWait) + random.nextLong(pause / 2 + 1);
        askedToWait = 0;
        return new Connect(place, after);
    }

    /** The pause is over and the place is asked. */
    public void connecting() {
        state = State.ASKING;
    }

    /** When to try to return, from now; asked for each time that a place answers or a return has failed. */
    public long failbackDelayNanos() {
        return FAILBACK_AFTER_NANOS + random.nextLong(FAILBACK_AFTER_NANOS + 1);
    }

    /** Whether the first place is to be tried now, beside the one that is followed. */
    public Action failback() {
        return state == State.FOLLOWING && place != 0 ? new Connect(0, 0) : STAY;
    }

    /** The first place answered while another was followed: it is followed instead. */
    public void failedBack() {
        place = 0;
        answered();
    }
}
