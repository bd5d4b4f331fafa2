package topazvalve.simulation.policy;

import java.util.List;
import java.util.SplittableRandom;
import topazvalve.policy.Actions;
import topazvalve.policy.LoadBalancer;
import topazvalve.policy.Settings;
import topazvalve.policy.SidecarPolicy;

/** The load-balancing policies that a simulation can use: the sidecar's own, and textbook policies for comparison. */
public enum Policy {
    /** The sidecar's own policy. */
    MODULE {
        @Override
        public LoadBalancer create(Settings settings, long seed, Actions actions) {
            return new SidecarPolicy(settings, seed, actions);
        }
    },
    /** A random ready server, uniformly. */
    RANDOM {
        @Override
        public LoadBalancer create(Settings settings, long seed, Actions actions) {
            SplittableRandom random = new SplittableRandom(seed);
            return new TextbookLoadBalancer(settings, actions, (ready, turn) -> random.nextInt(ready.size()));
        }
    },
    /** The ready servers in turn, starting at a random one. */
    ROUND_ROBIN {
        @Override
        public LoadBalancer create(Settings settings, long seed, Actions actions) {
            long first = new SplittableRandom(seed).nextInt(FIRST_TURN_BOUND);
            return new TextbookLoadBalancer(settings, actions, (ready, turn) -> (int) ((first + turn) % ready.size()));
        }
    },
    /** The ready server with the fewest requests of this instance in flight; ties are broken at random. */
    LEAST_IN_FLIGHT {
        @Override
        public LoadBalancer create(Settings settings, long seed, Actions actions) {
            SplittableRandom random = new SplittableRandom(seed);
            return new TextbookLoadBalancer(
                    settings, actions, (ready, turn) -> leastInFlight(ready, random.nextInt(ready.size())));
        }
    },
    /** Of two random ready servers, the one with fewer requests of this instance in flight. */
    TWO_CHOICES {
        @Override
        public LoadBalancer create(Settings settings, long seed, Actions actions) {
            SplittableRandom random = new SplittableRandom(seed);
            return new TextbookLoadBalancer(settings, actions, (ready, turn) -> {
                int first = random.nextInt(ready.size());
                int second = random.nextInt(ready.size());
                return ready.get(second).inFlight < ready.get(first).inFlight ? second : first;
            });
        }
    };

    /** Much larger than any number of servers, so that each is about equally likely to be the first. */
    private static final int FIRST_TURN_BOUND = 1 << 20;

    /**
     * Returns the index of the server with the fewest requests in flight; the first such one from {@code start} on,
     * cyclically.
     */
    private static int leastInFlight(List<TextbookLoadBalancer.Server> ready, int start) {
        int best = start;
        for (int i = 1; i < ready.size(); i++) {
            int index = (start + i) % ready.size();
            if (ready.get(index).inFlight < ready.get(best).inFlight) {
                best = index;
            }
        }
        return best;
    }

    /**
     * Creates the load balancer of a new instance. The same settings, seed and events lead to the same actions.
     *
     * @param actions carries out the load balancer's decisions
     */
    public abstract LoadBalancer create(Settings settings, long seed, Actions actions);
}
