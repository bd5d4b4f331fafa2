package topazvalve.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import topazvalve.simulation.experiment.Comparison;
import topazvalve.simulation.experiment.Result;
import topazvalve.simulation.experiment.Results;

/** Compares two arms of experiments, seed by seed. */
@Command(
        name = "compare",
        description = {
            "Compares two arms seed by seed, with 95%% intervals.",
            "An arm is given as ARM, or as DIR:ARM if its results are not in the directory of --out."
        })
final class ExperimentCompareVerb extends Verb {
    @Parameters(index = "0", paramLabel = "A", description = "the first arm")
    private String first;

    @Parameters(index = "1", paramLabel = "B", description = "the second arm")
    private String second;

    @Option(names = "--out", paramLabel = "DIR", description = "the directory of the results")
    private Path out;

    @Override
    public Integer call() throws IOException {
        List<Comparison> comparisons = Comparison.of(results(first), results(second));
        if (comparisons.isEmpty()) {
            throw new InvalidInputException(first + " and " + second + " have no scenario and seed in common");
        }
        comparisons.forEach(this::print);
        return ExitCode.SUCCESS;
    }

    private void print(Comparison comparison) {
        out().printf(
                        Locale.ROOT,
                        "%-16s %-24s %9.4f against %9.4f: %+.4f, 95%% from %+.4f to %+.4f (%d seeds): %s%n",
                        comparison.scenario(),
                        comparison.metric(),
                        comparison.first(),
                        comparison.second(),
                        comparison.mean(),
                        comparison.mean() - comparison.halfWidth(),
                        comparison.mean() + comparison.halfWidth(),
                        comparison.pairs(),
                        conclusion(comparison));
    }

    private String conclusion(Comparison comparison) {
        if (!comparison.differs()) {
            return "no difference can be told";
        }
        return first + (comparison.mean() > 0 ? " has more" : " has less");
    }

    /** Reads the results of ARM or DIR:ARM. */
    private List<Result> results(String armName) throws IOException {
        int colon = armName.lastIndexOf(':');
        Path directory = colon > 0 ? Path.of(armName.substring(0, colon)) : out;
        String arm = armName.substring(colon + 1);
        if (directory == null || !Files.isDirectory(directory)) {
            throw new InvalidInputException(armName + ": no such results directory; give --out DIR, or DIR:ARM");
        }
        List<Result> found = Results.read(directory).stream()
                .filter(each -> each.arm().equals(arm))
                .toList();
        if (found.isEmpty()) {
            throw new InvalidInputException(directory + ": has no results for arm " + arm);
        }
        return found;
    }
}
