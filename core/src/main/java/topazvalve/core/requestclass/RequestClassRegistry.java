package topazvalve.core.requestclass;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazvalve.policy.Idempotency;
import topazvalve.policy.KeyScope;
import topazvalve.policy.RequestClass;

/**
 * Assigns numbers to request classes. A class is identified by its name, idempotency, key rules and streaming: if a
 * reload changes one of these, the name gets another number. A number therefore keeps its meaning as long as the
 * sidecar runs, and an open request keeps the rules under which it was submitted.
 */
public final class RequestClassRegistry {
    /**
     * A request class of the current configuration.
     *
     * @param number number that identifies the class to the policy
     * @param name name by which requests refer to the class
     * @param rules rules of the class
     */
    public record Entry(int number, String name, RequestClass rules) {}

    /** What identifies a class. A change of latency objective, deadline or priority weight keeps the number. */
    private record Identity(
            String name, Idempotency idempotency, KeyScope keyScope, long keyTtlNanos, boolean streaming) {
        private static Identity of(String name, RequestClass rules) {
            return new Identity(name, rules.idempotency(), rules.keyScope(), rules.keyTtlNanos(), rules.streaming());
        }

        /**
         * Written by hand, like {@link #equals}: the generated methods of a record are linked at run time, which costs
         * 50 ms of CPU at each start.
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

    /** Replaces the classes in force; {@code names} and {@code classes} are parallel lists. */
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

    /** Returns the class in force with this name; null if there is none. */
    public Entry find(String name) {
        return entriesByName.get(name);
    }

    /** Returns all classes, indexed by number; those no longer in force keep their last rules for open requests. */
    public List<RequestClass> rules() {
        return List.copyOf(rulesByNumber);
    }
}
