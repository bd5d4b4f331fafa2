package topazvalve.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import topazvalve.capacity.measure.CapacityMeasurement;
import topazvalve.capacity.need.DemandTable;
import topazvalve.capacity.need.ResourceDemand;
import topazvalve.capacity.need.ResourceDemand.Tier;
import topazvalve.capacity.plan.CapacityPlan;

/** What the planned size needs of each role, beside what it is allowed. */
@Command(
        name = "capacity",
        description = {
            "Measures what servers, watches, changes and calls cost on this machine, fits lines,",
            "and prints what each role needs at the plan's size beside what it is allowed.",
            "Exit code 1 says that a budget is not kept."
        })
final class CapacityVerb implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(arity = "0..1", paramLabel = "PLAN", description = "the plan's file (simulation/capacity/plan.toml)")
    private Path file;

    @Option(names = "--quick", description = "fewer sizes, and shorter: under a minute")
    private boolean quick;

    @Option(names = "--tier", description = "only without relays (before) or only with them (after)")
    private Tier tier;

    @Override
    public Integer call() throws IOException, InterruptedException {
        CapacityPlan plan =
                InputFiles.plan(file == null ? RealTimeRun.home().resolve("simulation/capacity/plan.toml") : file);
        PrintWriter out = spec.commandLine().getOut();
        Path folder = Files.createTempDirectory("topazvalve");
        DemandTable table = CapacityMeasurement.run(plan, RealTimeRun.home(), folder, quick, line -> {
            out.println(line);
            out.flush();
        });
        return print(tier == null ? table : table.of(tier), plan, out);
    }

    /** Prints the tables and says which budgets are not kept; the exit code says whether there is one. */
    static int print(DemandTable table, CapacityPlan plan, PrintWriter out) {
        for (Tier tier : table.tiers()) {
            out.println();
            out.println(
                    tier == Tier.BEFORE
                            ? "Every sidecar calls the one source:"
                            : plan.budget().control().machines() + " relays between, " + plan.watchesPerMachine()
                                    + " watches each:");
            table.lines(tier).forEach(out::println);
        }
        out.println();
        List<ResourceDemand> over = table.over();
        over.forEach(each -> out.printf(
                Locale.ROOT,
                "over its budget, %s: %s, %s, %s: %.2f times%n",
                each.tier().name().toLowerCase(Locale.ROOT),
                each.role(),
                each.when(),
                each.what(),
                each.ratio()));
        out.println(over.isEmpty() ? "every budget is kept" : over.size() + " budgets are not kept");
        out.flush();
        return over.isEmpty() ? ExitCode.DONE : ExitCode.FAILED;
    }
}
