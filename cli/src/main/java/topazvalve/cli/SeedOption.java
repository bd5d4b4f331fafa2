package topazvalve.cli;

import picocli.CommandLine.Option;

/** The option {@code --seed} of the verbs that use random numbers. */
final class SeedOption {
    @Option(names = "--seed", defaultValue = "1", description = "the seed of all random numbers (${DEFAULT-VALUE})")
    private long seed;

    /** Returns the seed of all random numbers of a run. */
    long value() {
        return seed;
    }
}
