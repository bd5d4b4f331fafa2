package topazvalve.simulation.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import topazvalve.simulation.scenario.Scenario.Chaos;
import topazvalve.simulation.scenario.Scenario.Clients;
import topazvalve.simulation.scenario.Scenario.DiscoverySettings;
import topazvalve.simulation.scenario.Scenario.Fleet;
import topazvalve.simulation.scenario.Scenario.Limits;
import topazvalve.simulation.scenario.Scenario.Load;
import topazvalve.simulation.scenario.Scenario.Network;
import topazvalve.simulation.scenario.Scenario.Shape;
import topazvalve.toml.InvalidFileException;
import topazvalve.toml.Range;
import topazvalve.toml.Table;
import topazvalve.toml.TomlFile;

/**
 * Reads scenario files (TOML 1.0). All problems of a file are reported at once, each with its line. The keys and their
 * defaults are in {@code docs/experiments.md}.
 */
public final class ScenarioFile {
    private ScenarioFile() {}

    /**
     * Reads a file.
     *
     * @throws InvalidFileException if its contents are invalid; the exception has all problems
     */
    public static Scenario read(Path file) throws IOException {
        return parse(file.toString(), Files.readString(file));
    }

    /**
     * Reads the text of a file.
     *
     * @param name the file's name in messages
     * @throws InvalidFileException if the text is invalid; the exception has all problems
     */
    public static Scenario parse(String name, String text) {
        return TomlFile.parse(name, text, ScenarioFile::scenario);
    }

    private static Scenario scenario(Table table) {
        String name = table.string("name", null);
        String description = table.string("about", "-");
        long length = table.duration("length", null, "1s", "24m");
        long settlingTime = table.duration("settle", "0", "0", "10m");
        if (settlingTime >= length) {
            table.addProblem("settle", "is not shorter than the run");
        }
        Fleet fleet = fleet(table.table("fleet"));
        Load load = load(table.table("load"));
        Network network = network(table.table("network"));
        DiscoverySettings discovery = discovery(table.table("discovery"));
        List<MachineKind> machines =
                table.tables("machine", 1).stream().map(MachineKind::read).toList();
        List<RequestClassSpec> classes =
                table.tables("class", 1).stream().map(RequestClassSpec::read).toList();
        checkUnique(table, "machine", machines.stream().map(MachineKind::name).toList());
        checkUnique(table, "class", classes.stream().map(RequestClassSpec::name).toList());
        Limits limits = limits(table.table("rules"), machines);
        Clients clients = clients(table.table("clients"));
        List<Fault> faults = table.tables("fault", 0).stream()
                .map(each -> Fault.read(each, length))
                .toList();
        Chaos chaos = chaos(table.table("chaos"));
        return new Scenario(
                name,
                description,
                length,
                settlingTime,
                fleet,
                load,
                network,
                discovery,
                limits,
                machines,
                classes,
                clients,
                faults,
                chaos);
    }

    private static void checkUnique(Table table, String key, List<String> names) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < names.size(); i++) {
            if (!seen.add(names.get(i))) {
                table.addProblem(key + "." + i + ".name", "\"" + names.get(i) + "\" is used twice");
            }
        }
    }

    private static Fleet fleet(Table table) {
        return new Fleet(
                table.integer("servers", null, 1, 5_000),
                table.integer("instances", null, 1, 20_000),
                table.strings("zones", List.of("a")),
                table.integer("pod_size", 8, 1, 5_000),
                table.number("limited_pods", 0.0, 0, 1),
                table.range("pod_limit", new Range(1, 1), 0.05, 1));
    }

    private static Load load(Table table) {
        boolean hasRate = table.has("rate");
        if (hasRate == table.has("utilisation")) {
            table.addProblem(hasRate ? "utilisation" : "rate", "exactly one of rate and utilisation must be given");
        }
        return new Load(
                hasRate ? table.number("rate", null, 0.001, 1e6) : 0,
                hasRate ? 0 : table.number("utilisation", 0.5, 0.001, 100),
                table.choice(Shape.class, "shape", Shape.POISSON),
                table.number("swing", 0.0, 0, 1),
                table.duration("period", "10s", "10ms", "10m"),
                table.number("instance_spread", 0.0, 0, 5),
                table.integer("keys", 1000, 1, 100_000_000),
                table.number("zipf", 0.8, 0, 5));
    }

    private static Network network(Table table) {
        return new Network(
                table.duration("same_zone", "200us", "0", "10s"),
                table.duration("cross_zone", "15ms", "0", "10s"),
                table.number("jitter", 0.2, 0, 10),
                table.duration("client", "50us", "0", "1s"));
    }

    private static DiscoverySettings discovery(Table table) {
        return new DiscoverySettings(
                table.flag("subscribe", true),
                table.range("notice_s", new Range(2, 3), 0, 600),
                table.range("silent_notice_s", new Range(6, 13), 0, 600),
                table.duration("spread", "100ms", "0", "1m"),
                table.duration("call_time", "5ms", "0", "10s"),
                table.duration("patience", "1s", "1ms", "1m"));
    }

    private static Limits limits(Table table, List<MachineKind> machines) {
        double coldestFraction = machines.stream()
                .mapToDouble(MachineKind::coldSpeedFraction)
                .min()
                .orElse(1);
        long longestWarmUp =
                machines.stream().mapToLong(MachineKind::warmUpTime).max().orElse(0);
        return new Limits(
                table.duration("drain_grace", "500ms", "0", "1m"),
                table.duration("answer_slack", "20ms", "0", "10s"),
                table.number("overload_factor", 4.0, 1, 1000),
                table.duration("tip_after", "3s", "10ms", "1m"),
                table.integer("attempts", 4, 1, 4),
                table.duration("connect_timeout", "200ms", "1ms", "1m"),
                table.duration("ask_within", "10s", "0", "10m"),
                coldestFraction,
                longestWarmUp);
    }

    private static Clients clients(Table table) {
        return new Clients(
                table.number("retries", 0.0, 0, 1),
                table.duration("backoff", "100ms", "0", "1m"),
                table.number("honour", 1.0, 0, 1),
                table.duration("max_retry_after", "2s", "0", "10m"),
                table.number("impatient", 0.0, 0, 1),
                table.number("slow_readers", 0.0, 0, 1),
                table.number("reconnect", 0.0, 0, 1),
                table.number("stay", 0.0, 0, 1));
    }

    private static Chaos chaos(Table table) {
        List<Fault.Kind> kinds = new ArrayList<>();
        for (String name : table.strings("kinds", List.of("slow"))) {
            Fault.Kind kind = faultKind(name);
            if (kind == null) {
                table.addProblem("kinds", "\"" + name + "\" is not a kind of fault");
            } else {
                kinds.add(kind);
            }
        }
        return new Chaos(
                table.integer("count", 0, 0, 1000),
                kinds,
                table.range("length_s", new Range(2, 10), 0, 600),
                table.range("share", new Range(0.1, 0.3), 0, 1),
                table.range("size", new Range(2, 6), 0.01, 1000));
    }

    /** Returns the kind of fault with this name in files, or null if there is none. */
    private static Fault.Kind faultKind(String name) {
        for (Fault.Kind each : Fault.Kind.values()) {
            if (Table.nameOf(each).equals(name)) {
                return each;
            }
        }
        return null;
    }
}
