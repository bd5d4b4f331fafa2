package topazvalve.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** Picks endpoints in turn from a random permutation of the ready ones: the less busy of two neighbors. */
final class RandomizedRoundRobin {
    private final List<EndpointState> permutation = new ArrayList<>();
    private int pointer;

    void shuffle(List<EndpointState> ready, Random random) {
        permutation.clear();
        permutation.addAll(ready);
        Collections.shuffle(permutation, random);
        pointer = 0;
    }

    Stream<EndpointState> inTurn() {
        return Stream.concat(
                permutation.subList(pointer, permutation.size()).stream(),
                permutation.stream().limit(pointer));
    }

    /** Picks the less busy of the pointed endpoint and the next, of those that pass {@code admit}; null if none. */
    EndpointState pick(boolean advance, Predicate<EndpointState> admit, Predicate<EndpointState> takeTurn) {
        EndpointState pointed = null; // the first that takes its turn
        EndpointState skipped = null; // the first that let its turn pass; picked if no other takes one
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
