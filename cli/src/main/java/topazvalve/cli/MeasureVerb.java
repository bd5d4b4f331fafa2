package topazvalve.cli;

import picocli.CommandLine.Command;

/** Groups the verbs that measure the packaged sidecar on this machine. */
@Command(
        name = "measure",
        description = "Measures the packaged sidecar: the rate that it sustains, the time that it takes to start, "
                + "the capacity needed at the planned size.",
        synopsisSubcommandLabel = "rate|start|capacity",
        subcommands = {MeasureRateVerb.class, MeasureStartVerb.class, CapacityVerb.class})
final class MeasureVerb extends VerbGroup {}
