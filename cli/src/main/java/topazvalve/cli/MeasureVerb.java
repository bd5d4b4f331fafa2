package topazvalve.cli;

import picocli.CommandLine.Command;

/** Groups the verbs that measure the packaged sidecar on this machine. */
@Command(
        name = "measure",
        description = "Measures the packaged sidecar: the rate it carries, the time it takes to start, "
                + "what the planned size needs.",
        synopsisSubcommandLabel = "rate|start|capacity",
        subcommands = {MeasureRateVerb.class, MeasureStartVerb.class, CapacityVerb.class})
final class MeasureVerb extends VerbGroup {}
