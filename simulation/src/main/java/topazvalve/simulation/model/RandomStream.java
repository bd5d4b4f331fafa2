package topazvalve.simulation.model;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A stream of random numbers. Each purpose has a stream of its own, which depends only on the run's seed and the name
 * of the purpose, so that adding a fault, say, changes neither arrivals nor work.
 */
public final class RandomStream {
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential exponential;
    private final ZigguratSampler.NormalizedGaussian gaussian;

    private RandomStream(UniformRandomProvider random) {
        this.random = random;
        this.exponential = ZigguratSampler.Exponential.of(random);
        this.gaussian = ZigguratSampler.NormalizedGaussian.of(random);
    }

    /**
     * Creates the stream for a name: xoroshiro128++, seeded by MurmurHash3 of seed and name. Keep the names even where
     * the classes that use them are renamed, since a different name gives a different run.
     */
    public static RandomStream named(long seed, String name) {
        byte[] bytes = (seed + ":" + name).getBytes(StandardCharsets.UTF_8);
        long[] state = MurmurHash3.hash128x64(bytes);
        return new RandomStream(RandomSource.XO_RO_SHI_RO_128_PP.create(state));
    }

    /** Draws a number from 0 (inclusive) to 1 (exclusive). */
    public double nextDouble() {
        return random.nextDouble();
    }

    /** Draws true with this probability; nothing is drawn if it is at most 0 or at least 1. */
    public boolean nextBoolean(double probability) {
        return probability > 0 && (probability >= 1 || random.nextDouble() < probability);
    }

    /** Draws an integer from 0 to {@code bound} - 1. */
    public int nextInt(int bound) {
        return random.nextInt(bound);
    }

    /** Draws a long, uniformly from all values. */
    public long nextLong() {
        return random.nextLong();
    }

    /** Draws from the exponential distribution with this mean. */
    public double nextExponential(double mean) {
        return mean * exponential.sample();
    }

    /** Draws from the lognormal distribution with mean 1 and this coefficient of variation; 0 draws nothing. */
    public double nextLognormal(double variation) {
        if (variation == 0) {
            return 1;
        }
        double variance = Math.log1p(variation * variation);
        return Math.exp(Math.sqrt(variance) * gaussian.sample() - variance / 2);
    }

    /** Returns the underlying generator, for samplers. */
    public UniformRandomProvider generator() {
        return random;
    }
}
