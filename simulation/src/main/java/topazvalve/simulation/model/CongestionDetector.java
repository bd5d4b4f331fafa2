package topazvalve.simulation.model;

import topazvalve.simulation.scenario.MachineKind;

/**
 * Congestion of a server: it slows down when it has held too many attempts for long enough, and recovers when it has
 * held few for long enough. The thresholds and times are the {@code crowded...} values of its kind of machine.
 */
final class CongestionDetector {
    private static final long NEVER = -1;
    /** A server recovers only once its load is at most the congestion threshold divided by this number. */
    private static final double RECOVERY_DIVISOR = 4;

    private final MachineKind kind;
    private boolean congested;
    private long overloadedSince = NEVER;
    private long recoveringSince = NEVER;

    CongestionDetector(MachineKind kind) {
        this.kind = kind;
    }

    /** The process starts, without congestion. */
    void reset() {
        congested = false;
        overloadedSince = NEVER;
    }

    /** Returns how many times slower the server is; 1 unless it is congested. */
    double slowdown() {
        return congested ? kind.congestionSlowdown() : 1;
    }

    /** The number of attempts that the server holds may have changed. */
    void update(long now, double attemptsPerCore) {
        if (kind.congestedAt() == 0) {
            return;
        }
        if (congested) {
            updateRecovery(now, attemptsPerCore);
        } else {
            updateOverload(now, attemptsPerCore);
        }
    }

    private void updateOverload(long now, double attemptsPerCore) {
        if (attemptsPerCore < kind.congestedAt()) {
            overloadedSince = NEVER;
        } else if (overloadedSince == NEVER) {
            overloadedSince = now;
        }
        congested = overloadedSince != NEVER && now - overloadedSince >= kind.congestedAfter();
        recoveringSince = NEVER;
    }

    private void updateRecovery(long now, double attemptsPerCore) {
        if (attemptsPerCore > kind.congestedAt() / RECOVERY_DIVISOR) {
            recoveringSince = NEVER;
        } else if (recoveringSince == NEVER) {
            recoveringSince = now;
        }
        congested = recoveringSince == NEVER || now - recoveringSince < kind.recoveryTime();
        overloadedSince = NEVER;
    }
}
