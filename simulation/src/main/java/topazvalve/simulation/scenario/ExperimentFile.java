package topazvalve.simulation.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import topazvalve.simulation.policy.Policy;
import topazvalve.toml.InvalidFileException;
import topazvalve.toml.Table;
import topazvalve.toml.TomlFile;

/** Reads experiment files (TOML): scenarios, arms and seeds. It reports problems like {@link ScenarioFile}. */
public final class ExperimentFile {
    private static final SeedRange ONE_SEED = new SeedRange(1, 1);

    /** An arm of the experiment; {@code attempts} is 0 for the scenario's own limit. */
    public record ArmSpec(
            String name, Policy policy, int attempts, boolean cancel, boolean probes, boolean retryAfter) {}

    /** The contents of a file; relative paths of scenarios are resolved against the folder of the experiment file. */
    public record Experiment(String name, List<Path> scenarios, SeedRange seeds, List<ArmSpec> arms) {}

    private ExperimentFile() {}

    /**
     * Reads a file.
     *
     * @throws InvalidFileException if its contents are invalid; the exception has all problems
     */
    public static Experiment read(Path file) throws IOException {
        return TomlFile.parse(file.toString(), Files.readString(file), table -> experiment(file, table));
    }

    private static Experiment experiment(Path file, Table table) {
        String name = table.string("name", null);
        List<Path> scenarios = scenarios(file, table);
        Optional<SeedRange> seeds = SeedRange.parse(table.string("seeds", "1..5"));
        if (seeds.isEmpty()) {
            table.addProblem("seeds", "is not a range of seeds such as \"1..20\"");
        }
        List<ArmSpec> arms = arms(table);
        return new Experiment(name, scenarios, seeds.orElse(ONE_SEED), arms);
    }

    private static List<Path> scenarios(Path file, Table table) {
        List<Path> scenarios = new ArrayList<>();
        for (String each : table.strings("scenarios", null)) {
            Path path = file.toAbsolutePath().resolveSibling(each);
            if (!Files.isRegularFile(path)) {
                table.addProblem("scenarios", "no such file: " + each);
            }
            scenarios.add(path);
        }
        return scenarios;
    }

    private static List<ArmSpec> arms(Table table) {
        List<ArmSpec> arms = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Table arm : table.tables("arm", 1)) {
            Policy policy = arm.choice(Policy.class, "policy", null);
            String name = arm.string("name", Table.nameOf(policy));
            if (!names.add(name)) {
                arm.addProblem("name", "\"" + name + "\" is used twice");
            }
            arms.add(new ArmSpec(
                    name,
                    policy,
                    arm.integer("attempts", 0, 0, 4),
                    arm.flag("cancel", true),
                    arm.flag("probes", true),
                    arm.flag("retry_after", true)));
        }
        return arms;
    }
}
