package topazvalve.simulation.model;

import java.util.List;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.WorkClass;

/**
 * The clients of one instance: when the next request comes, whatever became of the last (an open loop), and
 * what it is. Draws from a stream of its own, in an order that nothing else can shift.
 */
public final class RequestGenerator {
    /** One request as meant. */
    public record Wish(
            int requestClass,
            long key,
            double work,
            long patience,
            boolean leavesEarly,
            boolean retries,
            boolean heeds) {}

    private final Scenario scenario;
    private final RandomStreams chance;
    private final TrafficPattern rhythm;
    private final double rate;
    private final double shares;
    private final DiscreteSampler keys;

    /** Askers of instance {@code number}; all share one rhythm. */
    public RequestGenerator(Scenario scenario, long seed, int number, TrafficPattern rhythm) {
        this.scenario = scenario;
        this.chance = RandomStreams.stream(seed, "asker." + number);
        this.rhythm = rhythm;
        this.rate = scenario.instanceRate() * chance.lognormal(scenario.load().instanceSpread()) / 1e9;
        this.shares = scenario.classes().stream().mapToDouble(WorkClass::share).sum();
        this.keys = RejectionInversionZipfSampler.of(
                chance.random(),
                scenario.load().keys(),
                Math.max(1e-9, scenario.load().zipf()));
    }

    /** Nanoseconds until the next moment to look; whether a request comes then is {@link #comes}. */
    public long gap() {
        return (long) chance.exponential(1 / (rate * rhythm.most()));
    }

    /** Whether a request comes at this moment, from the start of the run: thinning of a faster stream. */
    public boolean comes(long time) {
        double most = rhythm.most();
        return chance.part() * most < rhythm.factor(time);
    }

    /** What the request is. */
    public Wish wish() {
        List<WorkClass> classes = scenario.classes();
        double at = chance.part() * shares;
        int number = 0;
        while (number < classes.size() - 1 && at >= classes.get(number).share()) {
            at -= classes.get(number++).share();
        }
        WorkClass kind = classes.get(number);
        Scenario.Clients clients = scenario.clients();
        boolean early = chance.happens(clients.impatient());
        long patience = early ? (long) (kind.deadline() * (0.05 + 0.5 * chance.part())) : kind.deadline();
        return new Wish(
                number,
                keys.sample(),
                kind.work() * chance.lognormal(kind.spread()),
                patience,
                early,
                chance.happens(clients.retries()),
                chance.happens(clients.honour()));
    }
}
