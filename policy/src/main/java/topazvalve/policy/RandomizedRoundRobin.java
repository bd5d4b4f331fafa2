package topazvalve.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** Cycles through a random permutation of the ready endpoints, and picks the less busy of two neighbors each time. */
final class RandomizedRoundRobin {
    private final List<EndpointState> permutation = new ArrayList<>();
    private int pointer;

    void shuffle(List<EndpointState> ready, Random random) {
        permutation.clear();
        permutation.addAll(ready);
        Collections.shuffle(permutation, random);
        pointer = 0;
    }

    /** Returns all endpoints in the order of their turns, from the pointer on. */
    Stream<EndpointState> inTurn() {
        return Stream.concat(
                permutation.subList(pointer, permutation.size()).stream(),
                permutation.stream().limit(pointer));
    }

    /**
     * Picks the less busy of two neighbors: the first endpoint from the pointer on that takes its turn, and the next.
     * Endpoints that {@code admit} does not accept are passed over. Returns null if it accepts none.
     *
     * @param advance whether the pointer moves past the endpoint that took its turn
     */
    EndpointState pick(boolean advance, Predicate<EndpointState> admit, Predicate<EndpointState> takeTurn) {
        EndpointState pointed = null; // the first that takes its turn
        EndpointState skipped = null; // the first that let its turn pass; picked if no endpoint takes its turn
        int start = pointer;
        for (int i = 0; i < permutation.size(); i++) {
            int index = (start + i) % permutation.size();
            EndpointState endpoint = permutation.get(index);
            if (!admit.test(endpoint)) {
                continue;
            }
            if (pointed != null) {
                return endpoint.inFlightAndStreams() < pointed.inFlightAndStreams() ? endpoint : pointed;
            }
            if (takeTurn.test(endpoint)) {
                pointed = endpoint;
                pointer = advance ? (index + 1) % permutation.size() : pointer;
            } else if (skipped == null) {
                skipped = endpoint;
            }
        }
        return pointed != null ? pointed : skipped;
    }
}
