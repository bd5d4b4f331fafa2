package topazvalve.cli;

import org.slf4j.Logger;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import topazvalve.logging.Logging;

/**
 * Entry point of the command. An error is printed on standard error, one line for each problem and without a stack
 * trace; the process ends with an {@link ExitCode}.
 */
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
    private CommandLine commandLine;

    private Main() {}

    /** Ends the process with the verb's exit code, once no other thread keeps it. */
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
        return ExitCode.BAD_INPUT;
    }

    private static int verbFailed(Exception exception, CommandLine command, CommandLine.ParseResult parsed) {
        if (exception instanceof InvalidInputException) {
            exception.getMessage().lines().forEach(line -> command.getErr().println("topazvalve: " + line));
            return ExitCode.BAD_INPUT;
        }
        LOG.debug("failed", exception);
        String message = exception.getMessage() == null ? exception.getClass().getSimpleName() : exception.getMessage();
        command.getErr().println("topazvalve: " + oneLine(message));
        return ExitCode.FAILED;
    }

    private static String oneLine(String text) {
        return text.replaceAll("\\s*\\R\\s*", "; ");
    }

    @Override
    public void run() {
        commandLine.usage(commandLine.getOut());
    }
}
