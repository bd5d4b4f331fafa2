package topazvalve.cli;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Which topazvalve this is, and on what it runs. */
@Command(name = "version", description = "Prints the version, and the Java that runs it.")
final class VersionVerb implements Callable<Integer>, IVersionProvider {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        spec.commandLine().getOut().println(String.join("\n", getVersion()));
        return ExitCode.DONE;
    }

    @Override
    public String[] getVersion() throws IOException {
        Properties build = new Properties();
        try (InputStream in = VersionVerb.class.getResourceAsStream("build.properties")) {
            build.load(in);
        }
        return new String[] {
            "topazvalve " + build.getProperty("version") + " (Java " + System.getProperty("java.version") + ")"
        };
    }
}
