package topazvalve.simulation.model;

import java.util.stream.DoubleStream;

/** Draws an index with a probability in proportion to its weight. */
final class WeightedChoice {
    private final double[] weights;
    private final double total;

    /** Creates a choice among the indices of the weights, of which there is at least one; none is negative. */
    WeightedChoice(DoubleStream weights) {
        this.weights = weights.toArray();
        this.total = DoubleStream.of(this.weights).sum();
    }

    /** Draws an index. */
    int draw(RandomStream random) {
        double remaining = random.nextDouble() * total;
        int index = 0;
        while (index < weights.length - 1 && remaining >= weights[index]) {
            remaining -= weights[index];
            index++;
        }
        return index;
    }
}
