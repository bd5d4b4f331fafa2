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

/** Prints what the planned size demands of each role, beside its budget. */
@Command(
        name = "capacity",
        description = {
            "Measures what servers, watches, changes and calls cost on this machine, fits lines,",
            "and prints what each role needs at the plan's size beside what it is allowed.",
            "Exit code 1 says that a budget is not kept."
        })
final class CapacityVerb extends Verb {
    private static final String DEFAULT_PLAN = "simulation/capacity/plan.toml";

    @Parameters(arity = "0..1", paramLabel = "PLAN", description = "the plan's file (simulation/capacity/plan.toml)")
    private Path file;

    @Option(names = "--quick", description = "fewer sizes, and shorter: under a minute")
    private boolean quick;

    @Option(names = "--tier", description = "only without relays (before) or only with them (after)")
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

    /** Prints the tables and the budgets that are exceeded; returns the exit code, which says whether any is. */
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
