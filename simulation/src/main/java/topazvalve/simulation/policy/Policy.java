package topazvalve.simulation.policy;

import java.util.SplittableRandom;
import topazvalve.policy.LoadBalancer;
import topazvalve.policy.SidecarPolicy;

/** Who decides: the project's module, or a textbook policy to hold it against. */
public enum Policy {
    /** The decision module. */
    MODULE {
        @Override
        public LoadBalancer make(LoadBalancer.Settings settings, long seed, LoadBalancer.Actions actions) {
            return new SidecarPolicy(settings, seed, actions);
        }
    },
    /** Any ready server, each as likely. */
    RANDOM {
        @Override
        public LoadBalancer make(LoadBalancer.Settings settings, long seed, LoadBalancer.Actions actions) {
            SplittableRandom random = new SplittableRandom(seed);
            return new Textbook(settings, actions, (servers, turn) -> random.nextInt(servers.size()));
        }
    },
    /** One ready server after the other, beginning anywhere. */
    ROUND_ROBIN {
        @Override
        public LoadBalancer make(LoadBalancer.Settings settings, long seed, LoadBalancer.Actions actions) {
            long first = new SplittableRandom(seed).nextInt(1 << 20);
            return new Textbook(settings, actions, (servers, turn) -> (int) ((first + turn) % servers.size()));
        }
    },
    /** The ready server with the fewest of this instance's own requests; the first after a random place. */
    LEAST_IN_FLIGHT {
        @Override
        public LoadBalancer make(LoadBalancer.Settings settings, long seed, LoadBalancer.Actions actions) {
            SplittableRandom random = new SplittableRandom(seed);
            return new Textbook(settings, actions, (servers, turn) -> {
                int start = random.nextInt(servers.size());
                int best = start;
                for (int i = 1; i < servers.size(); i++) {
                    int at = (start + i) % servers.size();
                    if (servers.get(at).inFlight < servers.get(best).inFlight) {
                        best = at;
                    }
                }
                return best;
            });
        }
    },
    /** Of two random ready servers the one with fewer of this instance's own requests. */
    TWO_CHOICES {
        @Override
        public LoadBalancer make(LoadBalancer.Settings settings, long seed, LoadBalancer.Actions actions) {
            SplittableRandom random = new SplittableRandom(seed);
            return new Textbook(settings, actions, (servers, turn) -> {
                int one = random.nextInt(servers.size());
                int two = random.nextInt(servers.size());
                return servers.get(two).inFlight < servers.get(one).inFlight ? two : one;
            });
        }
    };

    /** A new instance's decisions; the same settings, seed and events give the same actions. */
    public abstract LoadBalancer make(LoadBalancer.Settings settings, long seed, LoadBalancer.Actions actions);
}
