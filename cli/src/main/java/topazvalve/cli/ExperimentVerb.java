package topazvalve.cli;

import picocli.CommandLine.Command;

/** Groups the verbs that run experiments (each arm on each scenario with each seed) and compare their arms. */
@Command(
        name = "experiment",
        description = "Runs arms on scenarios with many seeds and compares the arms.",
        synopsisSubcommandLabel = "run|compare",
        subcommands = {ExperimentRunVerb.class, ExperimentCompareVerb.class})
final class ExperimentVerb extends VerbGroup {}
