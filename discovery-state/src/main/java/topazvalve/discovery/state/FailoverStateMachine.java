package topazvalve.discovery.state;

import java.util.random.RandomGenerator;

/**
 * Decides which of several peers a follower connects to, and when. It fails over to the next peer on a failure, backs
 * off once all peers have failed in a row, and periodically tries to fail back to the first peer. Peers are numbered
 * from 0 in the follower's order of preference.
 *
 * <p>The caller makes the connections, measures time and reports each event by a method. Failover to the next peer
 * has no delay, because the followers of a peer have different next peers. When all peers of a round have failed, a
 * follower waits for a random time between half and all of a backoff, which doubles from {@link
 * #INITIAL_BACKOFF_NANOS} to {@link #MAX_BACKOFF_NANOS}. {@code docs/design/relay.md} derives the bounds.
 */
public final class FailoverStateMachine {
    /** The backoff after the first round in which all peers failed, in nanoseconds. */
    public static final long INITIAL_BACKOFF_NANOS = 250_000_000L;
    /** The longest backoff, in nanoseconds. Changes must be in force within 9 s after peers respond again. */
    public static final long MAX_BACKOFF_NANOS = 2_000_000_000L;
    /** The minimum time until a follower tries to fail back, in nanoseconds; the maximum is twice this. */
    public static final long FAILBACK_AFTER_NANOS = 60_000_000_000L;
    /** The largest Retry-After that is respected, in nanoseconds. */
    static final long MAX_RETRY_AFTER_NANOS = 5_000_000_000L;

    private static final int MAX_BACKOFF_DOUBLINGS = 8;
    private static final int PREFERRED_PEER = 0;

    /** What the caller has to do next. */
    public sealed interface Action {}

    /**
     * Connect to a peer.
     *
     * @param index the index of the peer
     * @param delayNanos the delay before connecting, in nanoseconds; 0 for none
     */
    public record Connect(int index, long delayNanos) implements Action {}

    /** Stay connected to the current peer. */
    public record Remain() implements Action {}

    private static final Remain REMAIN = new Remain();

    private enum State {
        CONNECTING,
        FOLLOWING,
        BACKING_OFF
    }

    private final int peerCount;
    private final RandomGenerator random;
    private State state = State.BACKING_OFF;
    private int currentPeer;
    private int failuresInRound;
    private int failedRounds;
    /** The largest Retry-After of this round. */
    private long retryAfterNanos;

    /**
     * Creates a state machine that has not been started.
     *
     * @param peerCount the number of peers, at least 1
     * @param random the follower's random generator
     */
    public FailoverStateMachine(int peerCount, RandomGenerator random) {
        if (peerCount < 1) {
            throw new IllegalArgumentException("peerCount must be at least 1, but is " + peerCount);
        }
        this.peerCount = peerCount;
        this.random = random;
    }

    /** Starts or restarts at the first peer. */
    public Connect start() {
        state = State.CONNECTING;
        currentPeer = PREFERRED_PEER;
        resetFailures();
        return new Connect(currentPeer, 0);
    }

    private void resetFailures() {
        failuresInRound = 0;
        failedRounds = 0;
        retryAfterNanos = 0;
    }

    /** Returns the index of the peer that is being connected to or followed. */
    public int currentIndex() {
        return currentPeer;
    }

    /** Returns whether the current peer has responded and not failed since. */
    public boolean isFollowing() {
        return state == State.FOLLOWING;
    }

    /** Reports that the current peer has responded: it is followed from now on. */
    public void responded() {
        state = State.FOLLOWING;
        resetFailures();
    }

    /** Reports that the current peer could not be reached, failed or became idle. */
    public Connect failed() {
        return failed(0);
    }

    /**
     * Reports a failure as {@link #failed()} does.
     *
     * @param peerRetryAfterNanos the peer's Retry-After in nanoseconds, 0 if it gave none; it takes effect once all
     *     peers have failed
     */
    public Connect failed(long peerRetryAfterNanos) {
        retryAfterNanos = Math.max(retryAfterNanos, Math.min(peerRetryAfterNanos, MAX_RETRY_AFTER_NANOS));
        currentPeer = (currentPeer + 1) % peerCount;
        failuresInRound++;
        if (failuresInRound < peerCount) {
            state = State.CONNECTING;
            return new Connect(currentPeer, 0);
        }
        return backOff();
    }

    private Connect backOff() {
        state = State.BACKING_OFF;
        long backoffNanos =
                Math.min(INITIAL_BACKOFF_NANOS << Math.min(failedRounds, MAX_BACKOFF_DOUBLINGS), MAX_BACKOFF_NANOS);
        long jitterNanos = random.nextLong(backoffNanos / 2 + 1);
        long delayNanos = Math.max(backoffNanos / 2, retryAfterNanos) + jitterNanos;
        failuresInRound = 0;
        failedRounds++;
        retryAfterNanos = 0;
        return new Connect(currentPeer, delayNanos);
    }

    /** Reports that the delay of a {@link Connect} is over and the peer is being connected to. */
    public void connecting() {
        state = State.CONNECTING;
    }

    /**
     * Returns a random delay until the next failback attempt, in nanoseconds. The caller requests a new one each time
     * a peer has responded or a failback has failed.
     */
    public long failbackDelayNanos() {
        return FAILBACK_AFTER_NANOS + random.nextLong(FAILBACK_AFTER_NANOS + 1);
    }

    /**
     * Returns whether to connect to the first peer now, in parallel to the current one: {@link Remain} if the first
     * peer is the current one or no peer is followed.
     */
    public Action failback() {
        boolean followsOtherPeer = state == State.FOLLOWING && currentPeer != PREFERRED_PEER;
        return followsOtherPeer ? new Connect(PREFERRED_PEER, 0) : REMAIN;
    }

    /** Reports that the first peer has responded to a failback: it is followed from now on. */
    public void failedBack() {
        currentPeer = PREFERRED_PEER;
        responded();
    }
}
