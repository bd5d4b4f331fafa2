package topazvalve.simulation.model;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Randomness by name: each purpose has a stream of its own, made of the run's seed and that name alone, so
 * that a fault that is changed shifts no arrival and no work.
 */
public final class RandomStreams {
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential exponential;
    private final ZigguratSampler.NormalizedGaussian gaussian;

    private RandomStreams(UniformRandomProvider random) {
        this.random = random;
        this.exponential = ZigguratSampler.Exponential.of(random);
        this.gaussian = ZigguratSampler.NormalizedGaussian.of(random);
    }

    /** The stream of this name: xoroshiro128++, seeded by MurmurHash3 of seed and name. */
    public static RandomStreams stream(long seed, String name) {
        byte[] bytes = (seed + ":" + name).getBytes(StandardCharsets.UTF_8);
        long[] state = MurmurHash3.hash128x64(bytes);
        return new RandomStreams(RandomSource.XO_RO_SHI_RO_128_PP.create(state));
    }

    /** From 0 (included) to 1. */
    public double part() {
        return random.nextDouble();
    }

    /** True with this probability. */
    public boolean happens(double probability) {
        return probability > 0 && (probability >= 1 || random.nextDouble() < probability);
    }

    /** A whole number from 0 to {@code bound} - 1. */
    public int below(int bound) {
        return random.nextInt(bound);
    }

    /** Any long. */
    public long any() {
        return random.nextLong();
    }

    /** Exponential with this mean. */
    public double exponential(double mean) {
        return mean * exponential.sample();
    }

    /** Lognormal with mean 1 and this coefficient of variation. */
    public double lognormal(double variation) {
        if (variation == 0) {
            return 1;
        }
        double variance = Math.log1p(variation * variation);
        return Math.exp(Math.sqrt(variance) * gaussian.sample() - variance / 2);
    }

    /** The stream itself, for samplers. */
    public UniformRandomProvider random() {
        return random;
    }
}
