package topazvalve.cli;

import picocli.CommandLine.Command;

/** Groups the verbs that run experiments (arms by scenarios by seeds) and compare their arms. */
@Command(
        name = "experiment",
        description = "Runs arms on scenarios with many seeds, and compares them.",
        synopsisSubcommandLabel = "run|compare",
        subcommands = {ExperimentRunVerb.class, ExperimentCompareVerb.class})
final class ExperimentVerb extends VerbGroup {}
