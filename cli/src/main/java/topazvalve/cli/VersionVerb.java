package topazvalve.cli;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;

/** Prints the versions of the program and of the Java runtime. */
@Command(name = "version", description = "Prints the versions of the program and of the Java runtime.")
final class VersionVerb extends Verb implements IVersionProvider {
    @Override
    public Integer call() throws IOException {
        out().println(String.join("\n", getVersion()));
        return ExitCode.SUCCESS;
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
