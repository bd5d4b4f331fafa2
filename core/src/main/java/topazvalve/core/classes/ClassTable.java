package topazvalve.core.classes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazvalve.policy.LoadBalancer.Idempotency;
import topazvalve.policy.LoadBalancer.KeyScope;
import topazvalve.policy.LoadBalancer.RequestClass;

/**
 * Gives each class its number. A class is known by its name and its effect: under another effect the same
 * name is another class with a number of its own, so that a number means one thing for as long as the sidecar
 * runs, and a request that is open keeps the rules it came under.
 */
public final class ClassTable {
    /** A class as requests name it. */
    public record Entry(int number, String name, RequestClass rules) {}

    /** What a request does and where it may be repeated; aims, deadlines and worth may change without it. */
    private record Identity(String name, Idempotency semantics, KeyScope scope, long keyTtl, boolean stream) {
        private static Identity of(String name, RequestClass rules) {
            return new Identity(name, rules.idempotency(), rules.keyScope(), rules.keyTtlNanos(), rules.streaming());
        }

        /** Written out, like equals: a record's own are linked at run time, 50 ms of CPU at each start. */
        @Override
        public int hashCode() {
            return name.hashCode();
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Identity identity
                    && name.equals(identity.name)
                    && semantics == identity.semantics
                    && scope == identity.scope
                    && keyTtl == identity.keyTtl
                    && stream == identity.stream;
        }
    }

    private final Map<Identity, Integer> numbers = new HashMap<>();
    private final List<RequestClass> rules = new ArrayList<>();
    private final Map<String, Entry> current = new HashMap<>();

    /** Takes over the classes that are in force from now on. */
    public void update(List<String> names, List<RequestClass> classes) {
        current.clear();
        for (int i = 0; i < names.size(); i++) {
            RequestClass each = classes.get(i);
            int number = numbers.computeIfAbsent(Identity.of(names.get(i), each), added -> numbers.size());
            if (number == rules.size()) {
                rules.add(each);
            } else {
                rules.set(number, each);
            }
            current.put(names.get(i), new Entry(number, names.get(i), each));
        }
    }

    /** The class in force under a name, or null. */
    public Entry find(String name) {
        return current.get(name);
    }

    /** All classes by number; those no longer in force as they last were, for requests that are open. */
    public List<RequestClass> rules() {
        return List.copyOf(rules);
    }
}
