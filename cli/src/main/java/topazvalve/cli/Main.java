package topazvalve.cli;

import org.slf4j.Logger;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import topazvalve.logging.Logging;

/**
 * Entry point of the command. Errors are printed on standard error, one line per problem and without a stack trace; the
 * process ends with an {@link ExitCode}.
 */
@Command(
        name = "topazvalve",
        mixinStandardHelpOptions = true,
        versionProvider = VersionVerb.class,
        synopsisSubcommandLabel = "VERB",
        scope = CommandLine.ScopeType.INHERIT,
        description = "A load-balancing sidecar and a simulation to test it in.",
        subcommands = {
            DemoVerb.class,
            ServeVerb.class,
            RelayVerb.class,
            CheckVerb.class,
            SimulateVerb.class,
            SoakVerb.class,
            ExperimentVerb.class,
            FleetVerb.class,
            MeasureVerb.class,
            SimulatorVerb.class,
            VersionVerb.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:completed, and no check failed",
            "1:a rule was broken, a budget was exceeded, or the run could not be completed",
            "2:invalid arguments or input file; the message names the place and the problem",
            "130:interrupted by Ctrl-C; the results of the finished runs are kept"
        })
public final class Main implements Runnable {
    private static final Logger LOG = Logging.of("topazvalve");
    private CommandLine commandLine;

    private Main() {}

    /** Runs a verb and ends the process with its exit code, once the shutdown hooks have finished. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** Runs a verb and returns its exit code. */
    static int run(String... args) {
        Main main = new Main();
        main.commandLine = new CommandLine(main);
        main.commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        main.commandLine.setExecutionExceptionHandler(Main::verbFailed);
        main.commandLine.setParameterExceptionHandler(Main::invalidArguments);
        return main.commandLine.execute(args);
    }

    private static int invalidArguments(CommandLine.ParameterException exception, String[] args) {
        CommandLine command = exception.getCommandLine();
        String help = command.getCommandSpec().qualifiedName() + " --help";
        command.getErr().println("topazvalve: " + oneLine(exception.getMessage()) + " (see: " + help + ")");
        return ExitCode.INVALID_INPUT;
    }

    private static int verbFailed(Exception exception, CommandLine command, CommandLine.ParseResult parsed) {
        if (exception instanceof InvalidInputException) {
            exception.getMessage().lines().forEach(line -> command.getErr().println("topazvalve: " + line));
            return ExitCode.INVALID_INPUT;
        }
        LOG.debug("verb failed", exception);
        String message = exception.getMessage() == null ? exception.getClass().getSimpleName() : exception.getMessage();
        command.getErr().println("topazvalve: " + oneLine(message));
        return ExitCode.FAILURE;
    }

    private static String oneLine(String text) {
        return text.replaceAll("\\s*\\R\\s*", "; ");
    }

    @Override
    public void run() {
        commandLine.usage(commandLine.getOut());
    }
}
