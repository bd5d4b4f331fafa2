package topazvalve.simulation.model;

import topazvalve.simulation.scenario.MachineKind;
import topazvalve.simulation.scenario.MachineKind.WarmBy;

/** The warm-up of a server process: its speed rises linearly from the cold fraction to full speed. */
final class WarmUp {
    /** A server is warm once it has done this fraction of what a warm server does in the warm-up time. */
    private static final double SUFFICIENT_WORK_FRACTION = 0.5;

    private final MachineKind kind;
    private final double fullSpeed;
    private boolean cold;
    private long startedAt;
    private double workSinceStart;

    /**
     * Creates the state of a server that is already warm.
     *
     * @param fullSpeed the server's speed when warm, in work per nanosecond
     */
    WarmUp(MachineKind kind, double fullSpeed) {
        this.kind = kind;
        this.fullSpeed = fullSpeed;
    }

    /** The process starts, cold if its kind of machine has a warm-up. */
    void start(long now) {
        startedAt = now;
        workSinceStart = 0;
        cold = kind.coldSpeedFraction() < 1;
    }

    /** Returns when the process last started, in nanoseconds of the clock; 0 for before the run. */
    long startedAt() {
        return startedAt;
    }

    boolean isCold() {
        return cold;
    }

    /** Adds work that the server has done, in nanoseconds of a standard core. */
    void addWork(double work) {
        if (cold) {
            workSinceStart += work;
        }
    }

    /** Returns the current fraction of the full speed (0 to 1), and ends the warm-up when it is complete. */
    double speedFraction(long now) {
        if (!cold) {
            return 1;
        }
        double completed = kind.warmUpTime() == 0 ? 1 : (double) (now - startedAt) / kind.warmUpTime();
        if (kind.warmBy() == WarmBy.WORK && kind.warmUpTime() > 0) {
            double sufficientWork = SUFFICIENT_WORK_FRACTION * fullSpeed * kind.warmUpTime();
            completed = Math.max(completed, workSinceStart / sufficientWork);
        }
        if (completed >= 1) {
            cold = false;
            return 1;
        }
        return kind.coldSpeedFraction() + (1 - kind.coldSpeedFraction()) * completed;
    }
}
