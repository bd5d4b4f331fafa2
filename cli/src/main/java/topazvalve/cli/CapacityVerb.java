package topazvalve.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import topazvalve.capacity.demand.DemandTable;
import topazvalve.capacity.demand.ResourceDemand;
import topazvalve.capacity.demand.ResourceDemand.Tier;
import topazvalve.capacity.measure.CapacityMeasurement;
import topazvalve.capacity.plan.CapacityPlan;

/** Prints the demand of each role at the planned size, compared with its budget. */
@Command(
        name = "capacity",
        description = {
            "Measures the cost of servers, watches, changes and calls on this machine.",
            "Fits lines to the values and prints the demand of each role at the plan's size, compared with its budget.",
            "Exit code 1 means that a budget is exceeded."
        })
final class CapacityVerb extends Verb {
    private static final String DEFAULT_PLAN = "simulation/capacity/plan.toml";

    @Parameters(arity = "0..1", paramLabel = "PLAN", description = "the plan file (simulation/capacity/plan.toml)")
    private Path file;

    @Option(names = "--quick", description = "fewer sizes and shorter measurements: under a minute")
    private boolean quick;

    @Option(names = "--tier", description = "prints one tier only: without relays (before) or with relays (after)")
    private Tier tier;

    @Override
    public Integer call() throws IOException, InterruptedException {
        CapacityPlan plan = InputFiles.plan(file == null ? ProjectRoot.resolve(DEFAULT_PLAN) : file);
        PrintWriter out = out();
        Path workDirectory = createWorkDirectory();
        DemandTable demands = CapacityMeasurement.run(plan, ProjectRoot.path(), workDirectory, quick, line -> {
            out.println(line);
            out.flush();
        });
        return print(tier == null ? demands : demands.ofTier(tier), plan, out);
    }

    /** Prints the tables and the exceeded budgets, and returns the exit code. */
    static int print(DemandTable demands, CapacityPlan plan, PrintWriter out) {
        for (Tier each : demands.tiers()) {
            out.println();
            out.println(heading(each, plan));
            demands.lines(each).forEach(out::println);
        }
        out.println();
        List<ResourceDemand> exceeded = demands.exceeded();
        exceeded.forEach(demand -> printExceeded(demand, out));
        out.println(exceeded.isEmpty() ? "every budget is kept" : exceeded.size() + " budgets are not kept");
        out.flush();
        return ExitCode.of(exceeded.isEmpty());
    }

    private static String heading(Tier tier, CapacityPlan plan) {
        if (tier == Tier.BEFORE) {
            return "Every sidecar calls the one source:";
        }
        int relays = plan.budget().control().machines();
        return relays + " relays between, " + plan.watchesPerMachine() + " watches each:";
    }

    private static void printExceeded(ResourceDemand demand, PrintWriter out) {
        out.printf(
                Locale.ROOT,
                "over its budget, %s: %s, %s, %s: %.2f times%n",
                demand.tier().name().toLowerCase(Locale.ROOT),
                demand.role(),
                demand.situation(),
                demand.resource(),
                demand.ratio());
    }
}
