package topazvalve.cli;

import org.slf4j.Logger;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import topazvalve.logging.Logging;

/** Entry point of the command. Every error is one line on standard error; none shows a stack trace. */
@Command(
        name = "topazvalve",
        mixinStandardHelpOptions = true,
        versionProvider = VersionVerb.class,
        synopsisSubcommandLabel = "VERB",
        scope = CommandLine.ScopeType.INHERIT,
        description = "A load-balancing sidecar, and a world to try it in.",
        subcommands = {
            DemoVerb.class,
            ServeVerb.class,
            RelayVerb.class,
            CheckVerb.class,
            SimulateVerb.class,
            ExperimentVerb.class,
            FleetVerb.class,
            MeasureVerb.class,
            SimulatorVerb.class,
            VersionVerb.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done, and nothing was found wrong",
            "1:a rule was broken, or the run could not be finished",
            "2:the arguments or a file are at fault; the line says where and what was meant",
            "130:ended by Ctrl-C; what was finished can be read"
        })
public final class Main implements Runnable {
    private static final Logger LOG = Logging.of("topazvalve");
    private CommandLine self;

    private Main() {}

    /** Ends the process with the verb's exit code, once no other thread keeps it. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String... args) {
        Main main = new Main();
        main.self = new CommandLine(main);
        main.self.setCaseInsensitiveEnumValuesAllowed(true);
        main.self.setExecutionExceptionHandler(Main::failed);
        main.self.setParameterExceptionHandler((fault, given) -> {
            fault.getCommandLine()
                    .getErr()
                    .println("topazvalve: " + oneLine(fault.getMessage()) + " (see: "
                            + fault.getCommandLine().getCommandSpec().qualifiedName() + " --help)");
            return ExitCode.BAD_INPUT;
        });
        return main.self.execute(args);
    }

    private static int failed(Exception fault, CommandLine command, CommandLine.ParseResult parsed) {
        if (fault instanceof InvalidInputException) {
            fault.getMessage().lines().forEach(line -> command.getErr().println("topazvalve: " + line));
            return ExitCode.BAD_INPUT;
        }
        LOG.debug("failed", fault);
        String text = fault.getMessage() == null ? fault.getClass().getSimpleName() : fault.getMessage();
        command.getErr().println("topazvalve: " + oneLine(text));
        return ExitCode.FAILED;
    }

    private static String oneLine(String text) {
        return text.replaceAll("\\s*\\R\\s*", "; ");
    }

    @Override
    public void run() {
        self.usage(self.getOut());
    }
}
