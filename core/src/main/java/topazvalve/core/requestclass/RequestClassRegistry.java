package topazvalve.core.requestclass;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazvalve.policy.Idempotency;
import topazvalve.policy.KeyScope;
import topazvalve.policy.RequestClass;

/**
 * Numbers the request classes. A class is identified by its name and its effect: with another effect, the same
 * name is another class with another number. So a number means one thing for as long as the sidecar runs, and an
 * open request keeps the rules under which it came.
 */
public final class RequestClassRegistry {
    /**
     * A request class that is in force.
     *
     * @param number number under which the policy knows the class
     * @param name name by which requests refer to the class
     */
    public record Entry(int number, String name, RequestClass rules) {}

    /** What identifies a class. Latency objective, deadline and priority weight may change without it. */
    private record Identity(
            String name, Idempotency idempotency, KeyScope keyScope, long keyTtlNanos, boolean streaming) {
        private static Identity of(String name, RequestClass rules) {
            return new Identity(name, rules.idempotency(), rules.keyScope(), rules.keyTtlNanos(), rules.streaming());
        }

        /**
         * Implemented by hand, like equals: generated methods of a record are linked at run time, which costs 50 ms of
         * CPU at each start.
         */
        @Override
        public int hashCode() {
            return name.hashCode();
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Identity identity
                    && name.equals(identity.name)
                    && idempotency == identity.idempotency
                    && keyScope == identity.keyScope
                    && keyTtlNanos == identity.keyTtlNanos
                    && streaming == identity.streaming;
        }
    }

    private final Map<Identity, Integer> numbers = new HashMap<>();
    private final List<RequestClass> rulesByNumber = new ArrayList<>();
    private final Map<String, Entry> entriesByName = new HashMap<>();

    /** Replaces the classes in force; {@code names} and {@code classes} correspond by index. */
    public void update(List<String> names, List<RequestClass> classes) {
        entriesByName.clear();
        for (int i = 0; i < names.size(); i++) {
            String name = names.get(i);
            RequestClass rules = classes.get(i);
            int number = numbers.computeIfAbsent(Identity.of(name, rules), unknown -> numbers.size());
            if (number == rulesByNumber.size()) {
                rulesByNumber.add(rules);
            } else {
                rulesByNumber.set(number, rules);
            }
            entriesByName.put(name, new Entry(number, name, rules));
        }
    }

    /** Returns the class in force under a name; null if there is none. */
    public Entry find(String name) {
        return entriesByName.get(name);
    }

    /** Returns all classes by number; those no longer in force as they last were, for open requests. */
    public List<RequestClass> rules() {
        return List.copyOf(rulesByNumber);
    }
}
