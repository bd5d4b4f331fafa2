package topazvalve.simulation.model;

import topazvalve.simulation.scenario.MachineKind;

/**
 * The speed of an order server, which depends on warm-up, slowdown by faults, congestion, its pod's capacity limit and
 * pauses. Speeds are in work per nanosecond, where a standard core does 1.
 */
final class ServerSpeed {
    private final MachineKind kind;
    private final Pod pod;
    private final double coreSpeed;
    private final double fullSpeed;
    private final WarmUp warmUp;
    private final CongestionDetector congestion;
    private double slowdown = 1;
    private long pausedUntil;

    /**
     * Creates the speed of a server that is already warm.
     *
     * @param coreSpeed the speed of one of its cores when warm
     */
    ServerSpeed(MachineKind kind, Pod pod, double coreSpeed) {
        this.kind = kind;
        this.pod = pod;
        this.coreSpeed = coreSpeed;
        this.fullSpeed = coreSpeed * kind.cores();
        this.warmUp = new WarmUp(kind, fullSpeed);
        this.congestion = new CongestionDetector(kind);
    }

    /** Returns the speed of all cores when warm. */
    double full() {
        return fullSpeed;
    }

    /** Returns the speed of the cores that are in use by this many attempts, when warm. */
    double ofCoresInUse(int runningAttempts) {
        return coreSpeed * Math.min(kind.cores(), runningAttempts);
    }

    /** Returns the current speed of all cores, without regard to pauses. */
    double current(long now) {
        return fullSpeed * warmUp.speedFraction(now) / slowdown / congestion.slowdown() * pod.speedFactor();
    }

    /** The process starts, cold if its kind of machine has a warm-up. */
    void processStarted(long now) {
        warmUp.start(now);
        congestion.reset();
    }

    /** Returns when the process last started, in nanoseconds of the clock; 0 for before the run. */
    long startedAt() {
        return warmUp.startedAt();
    }

    /** Returns whether the warm-up is not complete yet. */
    boolean isCold() {
        return warmUp.isCold();
    }

    /** Adds work that the server has done, in nanoseconds of a standard core. */
    void addWork(double work) {
        warmUp.addWork(work);
    }

    /** The number of attempts that the server holds may have changed. */
    void updateCongestion(long now, int attemptsHeld) {
        congestion.update(now, (double) attemptsHeld / kind.cores());
    }

    /** Divides the speed of the server by a factor from now on; 1 restores its normal speed. */
    void setSlowdown(double factor) {
        slowdown = factor;
    }

    /**
     * Pauses the server until a time, or longer if a longer pause is already in progress; returns when the pause ends.
     */
    long pauseUntil(long time) {
        pausedUntil = Math.max(pausedUntil, time);
        return pausedUntil;
    }

    /** Returns whether a pause is in progress. */
    boolean isPaused(long now) {
        return now < pausedUntil;
    }
}
