package topazvalve.capacity.plan;

import topazvalve.toml.Range;

/** The size to design for, as read from a file. Durations in nanoseconds; other units are in the names. */
public record CapacityPlan(String name, Fleet fleet, Load load, Failure failure, Budget budget, Source source) {
    private static final double SECONDS_PER_DAY = 86_400;

    /**
     * How many of what.
     *
     * @param servers order servers, each with its sidecar
     * @param largestZone servers of the largest zone
     * @param rack servers behind one rack or switch
     * @param deepestChain calls under one another, at most
     * @param callersOfServer sidecars that call one server
     */
    public record Fleet(
            int servers,
            int services,
            int regions,
            int zones,
            int largestZone,
            int rack,
            int deepestChain,
            int callersOfServer) {}

    /**
     * What happens on an ordinary day.
     *
     * @param changesPerDay of configuration
     * @param failuresPerDay machines that fail; {@code restartsPerDay} are restarted or replaced
     * @param changesPerRestart entries of the list that are told for one restart
     */
    public record Load(
            double callsPerSecond,
            double changesPerDay,
            double failuresPerDay,
            double restartsPerDay,
            int changesPerRestart) {}

    /**
     * What goes wrong at once.
     *
     * @param regionCutOff how long a region is without the others
     * @param controlMachinesLost of the control machines
     */
    public record Failure(int restartedTogether, long regionCutOff, int controlMachinesLost) {}

    /**
     * What may be taken.
     *
     * @param inForceWithin a change, everywhere
     * @param addedP99 to a call by its sidecar, for 99 in 100
     */
    public record Budget(long inForceWithin, long addedP99, Sidecar sidecar, Control control) {}

    /** What one sidecar may take for control; a core's per cent, mebibytes, bytes a second. */
    public record Sidecar(double corePercent, double memoryMib, double bytesPerSecond) {}

    /** The machines set aside for control, and what each has. */
    public record Control(
            int machines, int coresPerMachine, double memoryMibPerMachine, double bytesPerSecondPerMachine) {}

    /**
     * What serves lists today.
     *
     * @param callsPerSecond what it answers, at worst and at best
     * @param timeout a call that has waited so long for its turn fails
     * @param emptyLineEvery on a watch with no changes
     */
    public record Source(Range callsPerSecond, long timeout, long emptyLineEvery) {}

    /** Changes of the list and of configuration on an ordinary day, a second. */
    public double changesPerSecond() {
        return (load.changesPerDay() + (load.failuresPerDay() + load.restartsPerDay()) * load.changesPerRestart())
                / SECONDS_PER_DAY;
    }

    /** Calls that a mean sidecar carries, a second. */
    public double callsPerSidecar() {
        return load.callsPerSecond() / fleet.servers();
    }

    /** Sidecars of a mean region. */
    public int sidecarsOfRegion() {
        return -Math.floorDiv(-fleet.servers(), fleet.regions());
    }

    /** Watches that each control machine holds while all run. */
    public int watchesPerMachine() {
        return -Math.floorDiv(-fleet.servers(), budget.control().machines());
    }
}
