package topazvalve.simulation.scenario;

import java.util.List;
import topazvalve.toml.Range;

/**
 * A scenario as read: what there is, what is asked of it, and what goes wrong. Times in nanoseconds.
 *
 * @param settle the first part of the run, which does not count
 */
public record Scenario(
        String name,
        String about,
        long length,
        long settle,
        Fleet fleet,
        Load load,
        Network network,
        News news,
        Limits limits,
        List<MachineKind> machines,
        List<WorkClass> classes,
        Clients clients,
        List<Fault> faults,
        Chaos chaos) {

    /**
     * How many of what, and where.
     *
     * @param podSize servers that share one pod, in one zone
     * @param limitedPods part of the pods whose servers share a limit
     * @param podLimit that limit, as a part of their capacity together
     */
    public record Fleet(
            int servers, int instances, List<String> zones, int podSize, double limitedPods, Range podLimit) {}

    /**
     * What clients ask. Either {@code rate} or {@code utilisation} is above 0.
     *
     * @param rate first tries a second of a mean instance
     * @param utilisation asked work as a part of what all servers can do
     * @param swing for bursts and waves, how far the rate goes up and down, as a part of it
     * @param period for bursts and waves, the mean length of one
     * @param instanceSpread coefficient of variation of the instances' rates
     * @param keys how many keys there are; {@code zipf} is the exponent of their popularity
     */
    public record Load(
            double rate,
            double utilisation,
            Shape shape,
            double swing,
            long period,
            double instanceSpread,
            int keys,
            double zipf) {}

    /** How arrivals vary. */
    public enum Shape {
        POISSON,
        BURSTY,
        WAVE
    }

    /** One-way delays; {@code jitter} is the part of a delay that is exponential on top. */
    public record Network(long sameZone, long crossZone, double jitter, long client) {}

    /**
     * How servers' states come to be known.
     *
     * @param subscribe whether instances have to ask
     * @param notice until a change of a process is listed; {@code silentNotice} until a silent death is
     * @param spread until a listed change has reached who follows, at most
     * @param callTime how long discovery works on one call; calls wait in turn
     * @param patience a call that has waited so long fails
     */
    public record News(
            boolean subscribe, Range notice, Range silentNotice, long spread, long callTime, long patience) {}

    /** The numbers behind the rules. */
    public record Limits(
            long drainGrace,
            long answerSlack,
            double overloadFactor,
            long tipAfter,
            int attempts,
            long connectTimeout,
            long askWithin,
            double coldShare,
            long rampTime) {}

    /**
     * What clients do besides asking.
     *
     * @param retries part of the first tries that are tried once more after a failure that allows it
     * @param honour part of the clients that heed Retry-After
     * @param impatient part of the tries that are given up early
     * @param slowReaders part of the clients that read answers slowly; on real sockets alone
     * @param reconnect part of the requests that come on a new connection; on real sockets alone
     */
    public record Clients(
            double retries,
            long backoff,
            double honour,
            long maxRetryAfter,
            double impatient,
            double slowReaders,
            double reconnect) {}

    /** Faults drawn at random from the seed: how many, of which kinds, how long and how large. */
    public record Chaos(int count, List<Fault.Kind> kinds, Range length, Range share, Range size) {}

    /** Mean work of a request. */
    public double meanWork() {
        double work = 0;
        double shares = 0;
        for (WorkClass each : classes) {
            work += each.work() * each.share();
            shares += each.share();
        }
        return work / shares;
    }

    /** Mean capacity of one server, in seconds of standard work a second. */
    public double meanCapacity() {
        double capacity = 0;
        double shares = 0;
        for (MachineKind each : machines) {
            capacity += each.capacity() * each.share();
            shares += each.share();
        }
        return capacity / shares;
    }

    /** First tries a second of a mean instance. */
    public double instanceRate() {
        return load.rate() > 0
                ? load.rate()
                : load.utilisation() * meanCapacity() * fleet.servers() * 1e9 / meanWork() / fleet.instances();
    }
}
