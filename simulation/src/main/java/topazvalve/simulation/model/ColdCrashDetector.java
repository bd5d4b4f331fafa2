package topazvalve.simulation.model;

import topazvalve.simulation.scenario.Scenario.Limits;

/** Decides whether a cold order server crashes under its load, or reports that load to a monitor instead. */
final class ColdCrashDetector {
    private final OrderServer server;
    private final Limits limits;
    private final double meanWork;
    /** Null before the first start. */
    private ColdLoadWindow load;
    /** Null unless the load is only measured. */
    private ColdServerMonitor monitor;

    /**
     * Creates a detector.
     *
     * @param meanWork mean work of a request in nanoseconds of a standard core
     */
    ColdCrashDetector(OrderServer server, Limits limits, double meanWork) {
        this.server = server;
        this.limits = limits;
        this.meanWork = meanWork;
    }

    /** Reports the load from now on; the server no longer crashes. */
    void setMonitor(ColdServerMonitor newMonitor) {
        monitor = newMonitor;
    }

    /** The process starts: its load is 0. */
    void processStarted() {
        load = new ColdLoadWindow(limits.coldLoadWindow(), limits.overloadFactor(), meanWork);
    }

    /**
     * An attempt has reached the cold server; returns whether the server crashes under it.
     *
     * @param speed the server's current speed in work per nanosecond
     * @param senderInformed whether its sender knew when the server last started
     */
    boolean crashesUnder(ServerAttempt attempt, double speed, boolean senderInformed, long now) {
        load.record(now, attempt.work, speed, senderInformed);
        if (monitor != null) {
            monitor.coldLoadMeasured(server, load.offeredRequests(), load.allowedRequests(), load.informedFraction());
            return false;
        }
        return load.isOverloaded();
    }

    /** Returns the fraction (0 to 1) of the load whose senders knew of the server's last start. */
    double informedFraction() {
        return load.informedFraction();
    }
}
