package topazvalve.simulation.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import topazvalve.simulation.policy.Policy;
import topazvalve.toml.InvalidFileException;
import topazvalve.toml.Table;
import topazvalve.toml.TomlFile;

/** Reads an experiment from TOML: which scenarios, arms and seeds. Strict, as {@link ScenarioFile} is. */
public final class ExperimentFile {
    private static final Pattern SEEDS = Pattern.compile("([0-9]{1,9})(?:\\.\\.([0-9]{1,9}))?");
    private static final int MOST_SEEDS = 10_000;

    /** An arm as written; {@code attempts} 0 stands for the scenario's own. */
    public record ArmSpec(
            String name, Policy policy, int attempts, boolean cancel, boolean probes, boolean retryAfter) {}

    /** An experiment as written; scenario files are beside the experiment's own. */
    public record Experiment(String name, List<Path> scenarios, long firstSeed, long lastSeed, List<ArmSpec> arms) {}

    private ExperimentFile() {}

    /** Reads a file; {@link InvalidFileException} if it has faults. */
    public static Experiment read(Path file) throws IOException {
        return TomlFile.parse(file.toString(), Files.readString(file), table -> experiment(file, table));
    }

    private static Experiment experiment(Path file, Table table) {
        String name = table.text("name", null);
        List<Path> scenarios = new ArrayList<>();
        for (String each : table.texts("scenarios", null)) {
            Path path = file.toAbsolutePath().resolveSibling(each);
            if (!Files.isRegularFile(path)) {
                table.wrong("scenarios", "no such file: " + each);
            }
            scenarios.add(path);
        }
        long[] seeds = seeds(table.text("seeds", "1..5"));
        if (seeds == null) {
            table.wrong("seeds", "is not a range of seeds such as \"1..20\"");
            seeds = new long[] {1, 1};
        }
        List<ArmSpec> arms = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Table arm : table.tables("arm", 1)) {
            Policy policy = arm.choice(Policy.class, "policy", null);
            String armName = arm.text("name", Table.word(policy));
            if (!names.add(armName)) {
                arm.wrong("name", "\"" + armName + "\" is given twice");
            }
            arms.add(new ArmSpec(
                    armName,
                    policy,
                    arm.whole("attempts", 0, 0, 4),
                    arm.flag("cancel", true),
                    arm.flag("probes", true),
                    arm.flag("retry_after", true)));
        }
        return new Experiment(name, scenarios, seeds[0], seeds[1], arms);
    }

    /** The first and the last of a range such as {@code 1..20}; null if it is none. */
    public static long[] seeds(String text) {
        Matcher matcher = SEEDS.matcher(text);
        if (!matcher.matches()) {
            return null;
        }
        long first = Long.parseLong(matcher.group(1));
        long last = matcher.group(2) == null ? first : Long.parseLong(matcher.group(2));
        return last < first || last - first >= MOST_SEEDS ? null : new long[] {first, last};
    }
}
