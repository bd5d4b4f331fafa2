package topazvalve.simulation.scenario;

import java.util.List;
import topazvalve.toml.Range;

/**
 * A scenario: the fleet, its load, and the faults. Times are in nanoseconds unless a name says otherwise.
 *
 * @param length the length of the run
 * @param settlingTime the time from the start of the run that statistics exclude
 * @param discovery how discovery learns of the servers' states
 * @param limits the limits of the oracle's rules
 */
public record Scenario(
        String name,
        String description,
        long length,
        long settlingTime,
        Fleet fleet,
        Load load,
        Network network,
        DiscoverySettings discovery,
        Limits limits,
        List<MachineKind> machines,
        List<RequestClassSpec> classes,
        Clients clients,
        List<Fault> faults,
        Chaos chaos) {

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * The servers and the sidecar instances.
     *
     * @param podSize the number of servers of a pod
     * @param limitedPodFraction the fraction (0 to 1) of the pods whose servers share a capacity limit
     * @param podLimit that limit, as a fraction of the servers' total capacity
     */
    public record Fleet(
            int servers, int instances, List<String> zones, int podSize, double limitedPodFraction, Range podLimit) {}

    /**
     * The load of the clients. Either {@code rate} or {@code utilisation} is above 0.
     *
     * @param rate the mean rate of an instance in requests per second, without clients' retries
     * @param utilisation the work of the requests as a fraction of the capacity of all servers
     * @param amplitude for bursts and waves, the deviation from the mean rate, as a fraction of it
     * @param period for bursts and waves, the mean length of a burst or wave
     * @param instanceSpread the coefficient of variation of the instances' rates
     * @param keys the number of idempotency keys
     * @param zipfExponent the exponent of the Zipf distribution of the keys
     */
    public record Load(
            double rate,
            double utilisation,
            Shape shape,
            double amplitude,
            long period,
            double instanceSpread,
            int keys,
            double zipfExponent) {}

    /** How the request rate varies. */
    public enum Shape {
        POISSON,
        BURSTY,
        WAVE
    }

    /**
     * One-way delays.
     *
     * @param sameZone between an instance and a server of its zone
     * @param crossZone between an instance and a server of another zone
     * @param jitter the mean of an additional exponential delay, as a fraction of the delay
     * @param client between a client and its instance
     */
    public record Network(long sameZone, long crossZone, double jitter, long client) {}

    /**
     * How discovery learns of the servers' states and passes them on.
     *
     * @param subscribe whether instances have to subscribe; otherwise they are notified of changes without a call
     * @param noticeSeconds seconds until the change of a process is listed
     * @param silentNoticeSeconds seconds until the disappearance of a machine is listed
     * @param maxPropagation the longest time until a watching instance is notified of a listed change
     * @param callTime how long discovery takes to serve a call; it serves one call at a time
     * @param callTimeout how long a call may wait before it fails
     */
    public record DiscoverySettings(
            boolean subscribe,
            Range noticeSeconds,
            Range silentNoticeSeconds,
            long maxPropagation,
            long callTime,
            long callTimeout) {}

    /**
     * The limits of the oracle's rules, which instances also get as settings.
     *
     * @param drainGrace how long after the notification of a drain a server may get new attempts
     * @param responseSlack how long after the deadline a response may arrive
     * @param overloadFactor the multiple of its capacity above which a cold server crashes
     * @param coldLoadWindow the window over which the load of a cold server is measured
     * @param attempts the largest number of attempts of a request
     * @param connectTimeout how long an attempt to connect may take
     * @param resubscribeWithin the time within which an instance must resubscribe after it lost its subscription
     * @param coldCapacityFraction the lowest cold speed fraction (0 to 1) of all kinds of machines
     * @param slowStartTime the longest warm-up time of all kinds of machines
     */
    public record Limits(
            long drainGrace,
            long responseSlack,
            double overloadFactor,
            long coldLoadWindow,
            int attempts,
            long connectTimeout,
            long resubscribeWithin,
            double coldCapacityFraction,
            long slowStartTime) {}

    /**
     * The behaviour of clients. All fractions are from 0 to 1.
     *
     * @param retryFraction the fraction of requests that are retried once after a failure that allows it
     * @param backoff how long a client waits before a retry
     * @param honourRetryAfterFraction the fraction of clients that honour Retry-After
     * @param maxRetryAfter the longest Retry-After that clients honour
     * @param earlyDisconnectFraction the fraction of requests whose client disconnects early
     * @param slowReaderFraction the fraction of clients that read responses slowly; on real sockets only
     * @param newConnectionFraction the fraction of requests that clients send on a new connection; on real sockets only
     * @param stayFraction the fraction of requests whose client keeps its connection open after its deadline; on real
     *     sockets only
     */
    public record Clients(
            double retryFraction,
            long backoff,
            double honourRetryAfterFraction,
            long maxRetryAfter,
            double earlyDisconnectFraction,
            double slowReaderFraction,
            double newConnectionFraction,
            double stayFraction) {

        /**
         * Returns how long a client waits before a retry, in nanoseconds.
         *
         * @param honoursRetryAfter whether the client honours Retry-After
         * @param retryAfterNanos the Retry-After of the response; 0 for none
         */
        public long backoffNanos(boolean honoursRetryAfter, long retryAfterNanos) {
            return honoursRetryAfter ? Math.max(backoff, Math.min(retryAfterNanos, maxRetryAfter)) : backoff;
        }
    }

    /**
     * Faults that are drawn from the seed.
     *
     * @param lengthSeconds the range of their lengths in seconds
     * @param affectedFraction the range of the fraction of servers or instances that they affect
     * @param size the range of their sizes
     */
    public record Chaos(int count, List<Fault.Kind> kinds, Range lengthSeconds, Range affectedFraction, Range size) {}

    /** Returns the mean work of a request, in nanoseconds of a standard core. */
    public double meanWork() {
        double work = 0;
        double totalWeight = 0;
        for (RequestClassSpec each : classes) {
            work += each.work() * each.weight();
            totalWeight += each.weight();
        }
        return work / totalWeight;
    }

    /** Returns the mean capacity of a server, in standard cores. */
    public double meanCapacity() {
        double capacity = 0;
        double totalWeight = 0;
        for (MachineKind each : machines) {
            capacity += each.capacity() * each.weight();
            totalWeight += each.weight();
        }
        return capacity / totalWeight;
    }

    /** Returns the shortest time after which servers close idle connections. */
    public long minIdleTimeout() {
        return machines.stream().mapToLong(MachineKind::idleTimeout).min().orElseThrow();
    }

    /** Returns the longest deadline of all classes. */
    public long maxDeadline() {
        return classes.stream().mapToLong(RequestClassSpec::deadline).max().orElseThrow();
    }

    /** Returns the mean rate of an instance in requests per second, without clients' retries. */
    public double instanceRate() {
        if (load.rate() > 0) {
            return load.rate();
        }
        return load.utilisation()
                * meanCapacity()
                * fleet.servers()
                * NANOS_PER_SECOND
                / meanWork()
                / fleet.instances();
    }
}
