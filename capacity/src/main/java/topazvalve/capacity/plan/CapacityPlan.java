package topazvalve.capacity.plan;

import topazvalve.toml.Range;

/**
 * The size to design for, as {@link PlanFile} reads it.
 *
 * @param name the plan's name
 * @param fleet the servers and how they are grouped
 * @param load the load of an ordinary day
 * @param failure the failures to survive
 * @param budget the resources that each role may use
 * @param source the discovery source that exists today
 */
public record CapacityPlan(String name, Fleet fleet, Load load, Failure failure, Budget budget, Source source) {
    private static final double SECONDS_PER_DAY = 86_400;

    /**
     * The servers and their groups.
     *
     * @param servers servers, each with its sidecar
     * @param services services that the servers belong to
     * @param regions regions
     * @param zones zones of all regions
     * @param largestZone servers of the largest zone
     * @param rack servers behind one rack or switch
     * @param deepestChain the longest chain of nested calls
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
     * The load of an ordinary day.
     *
     * @param callsPerSecond calls of the whole fleet
     * @param changesPerDay configuration changes
     * @param failuresPerDay machines that fail
     * @param restartsPerDay servers that are restarted or replaced
     * @param changesPerRestart changes of the endpoint list for one restart
     */
    public record Load(
            double callsPerSecond,
            double changesPerDay,
            double failuresPerDay,
            double restartsPerDay,
            int changesPerRestart) {}

    /**
     * The failures to survive.
     *
     * @param restartedTogether servers that restart at the same time
     * @param regionCutOffNanos how long a region is cut off from the others
     * @param controlMachinesLost control machines that fail together
     */
    public record Failure(int restartedTogether, long regionCutOffNanos, int controlMachinesLost) {}

    /**
     * The budgets for time and resources.
     *
     * @param inForceWithinNanos the time until a change is in force at every sidecar
     * @param addedP99Nanos the 99th percentile of the delay that a sidecar adds to a call
     * @param sidecar the budget of one sidecar for discovery
     * @param control the machines that serve endpoint lists
     */
    public record Budget(long inForceWithinNanos, long addedP99Nanos, Sidecar sidecar, Control control) {}

    /**
     * The budget of one sidecar for discovery.
     *
     * @param corePercent CPU, in percent of a core
     * @param memoryMib resident memory in MiB
     * @param bytesPerSecond network traffic
     */
    public record Sidecar(double corePercent, double memoryMib, double bytesPerSecond) {}

    /**
     * The machines that serve endpoint lists.
     *
     * @param machines the number of machines
     * @param coresPerMachine cores of each
     * @param memoryMibPerMachine memory of each, in MiB
     * @param bytesPerSecondPerMachine network bandwidth of each
     */
    public record Control(
            int machines, int coresPerMachine, double memoryMibPerMachine, double bytesPerSecondPerMachine) {}

    /**
     * The discovery source that exists today.
     *
     * @param callsPerSecond the calls that it answers, lowest and highest rate
     * @param timeoutNanos the longest time that a call waits in the queue before it fails
     * @param heartbeatIntervalNanos the time between the heartbeats, which are empty lines, on an idle watch
     */
    public record Source(Range callsPerSecond, long timeoutNanos, long heartbeatIntervalNanos) {}

    /** Returns the mean rate of endpoint list and configuration changes on an ordinary day, per second. */
    public double changesPerSecond() {
        return (load.changesPerDay() + (load.failuresPerDay() + load.restartsPerDay()) * load.changesPerRestart())
                / SECONDS_PER_DAY;
    }

    /** Returns the mean rate of calls through one sidecar, per second. */
    public double callsPerSidecar() {
        return load.callsPerSecond() / fleet.servers();
    }

    /** Returns the average number of sidecars in a region, rounded up. */
    public int sidecarsPerRegion() {
        return ceilDiv(fleet.servers(), fleet.regions());
    }

    /** Returns the number of watches on each control machine while all of them run, rounded up. */
    public int watchesPerMachine() {
        return ceilDiv(fleet.servers(), budget.control().machines());
    }

    /** Returns the quotient of two integers, rounded up. */
    public static int ceilDiv(int dividend, int divisor) {
        return -Math.floorDiv(-dividend, divisor);
    }
}
