package topazvalve.simulation.virtual;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import topazvalve.simulation.model.ColdServerMonitor;
import topazvalve.simulation.model.OrderServer;
import topazvalve.simulation.policy.Policy;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.ScenarioFile;

/**
 * Measures the load that fleets send to cold servers over a sliding window, relative to the load under which a server
 * crashes: N + 2 * sqrt(N) + 2 requests of mean work, where N is the overload factor times the server's capacity over
 * the window.
 */
public final class ColdLoadExperiment implements ColdServerMonitor {
    /** An overload counts as informed if the senders of at least this fraction of the load knew of the start. */
    private static final double MIN_INFORMED_FRACTION = 2.0 / 3;

    /** The resource with the scenario, which has {@code ${name}} in place of the values that vary. */
    private static final String SCENARIO = "cold-load.toml";

    private final Map<Long, Double> peaks = new HashMap<>();
    private final Map<Long, Double> informedPeaks = new HashMap<>();

    /**
     * The results of one run.
     *
     * @param peaks the peak load of each server that was cold, as a fraction of the load under which it crashes
     * @param informedOverloads the number of servers that were overloaded by senders that knew of their start
     */
    public record Result(List<Double> peaks, long informedOverloads) {}

    private ColdLoadExperiment() {}

    @Override
    public void coldLoadMeasured(OrderServer server, double offered, double allowed, double informed) {
        double fractionOfCrashLoad = offered / (allowed + 2 * Math.sqrt(allowed) + 2);
        peaks.merge(server.id(), fractionOfCrashLoad, Math::max);
        if (informed >= MIN_INFORMED_FRACTION) {
            informedPeaks.merge(server.id(), fractionOfCrashLoad, Math::max);
        }
    }

    /**
     * A fleet and its load.
     *
     * @param utilisation the load as a fraction of all servers' capacity, before bursts
     * @param factor the overload factor
     * @param replaced the fraction (0 to 1) of the servers that are replaced by cold ones within two seconds
     */
    public record Fleet(int instances, int servers, double utilisation, double factor, double replaced) {}

    /** Runs the experiment for one fleet. */
    static Result run(Policy policy, Fleet fleet, long seed) {
        ColdLoadExperiment experiment = new ColdLoadExperiment();
        VirtualSimulation simulation = new VirtualSimulation(scenario(fleet), ExperimentArm.of(policy), seed);
        simulation.monitorColdLoad(experiment);
        simulation.run();
        return new Result(
                List.copyOf(experiment.peaks.values()),
                experiment.informedPeaks.values().stream()
                        .filter(each -> each > 1)
                        .count());
    }

    private static Scenario scenario(Fleet fleet) {
        String text = scenarioTemplate()
                .replace("${servers}", Integer.toString(fleet.servers))
                .replace("${instances}", Integer.toString(fleet.instances))
                .replace("${utilisation}", Double.toString(fleet.utilisation))
                .replace("${overload_factor}", Double.toString(fleet.factor))
                .replace("${replaced}", Double.toString(fleet.replaced));
        return ScenarioFile.parse(SCENARIO, text);
    }

    private static String scenarioTemplate() {
        try (InputStream in = ColdLoadExperiment.class.getResourceAsStream(SCENARIO)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Prints a line for each fleet size.
     *
     * @param arguments overload factor, utilisation, fraction replaced, number of seeds, largest number of instances
     */
    public static void main(String[] arguments) {
        double factor = Double.parseDouble(arguments[0]);
        double utilisation = Double.parseDouble(arguments[1]);
        double replaced = Double.parseDouble(arguments[2]);
        int seeds = Integer.parseInt(arguments[3]);
        int maxInstances = Integer.parseInt(arguments[4]);
        // Pairs of the number of instances and the number of servers.
        int[][] sizes = {{5, 12}, {14, 60}, {30, 40}, {100, 200}, {2000, 200}};
        System.out.println("instances servers cold median p99 most over over-by-informed-senders");
        for (int[] size : sizes) {
            if (size[0] > maxInstances) {
                return;
            }
            printRow(new Fleet(size[0], size[1], utilisation, factor, replaced), seeds);
        }
    }

    private static void printRow(Fleet fleet, int seeds) {
        List<Double> peaks = new ArrayList<>();
        long informedOverloads = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            Result result = run(Policy.MODULE, fleet, seed);
            peaks.addAll(result.peaks());
            informedOverloads += result.informedOverloads();
        }
        peaks.sort(null);
        System.out.printf(
                Locale.ROOT,
                "%d %d %d %.2f %.2f %.2f %d %d%n",
                fleet.instances(),
                fleet.servers(),
                peaks.size(),
                peaks.get(peaks.size() / 2),
                peaks.get(peaks.size() * 99 / 100),
                peaks.get(peaks.size() - 1),
                peaks.stream().filter(each -> each > 1).count(),
                informedOverloads);
    }
}
