package topazvalve.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Runs one relay in this JVM until it is terminated. */
@Command(
        name = "relay",
        description = {
            "Runs one relay between the sources of endpoint lists and the sidecars.",
            "docs/relay.md lists the keys of its file; SIGTERM stops it."
        })
final class RelayVerb implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the relay's file (.toml)")
    private Path file;

    @Override
    public Integer call() throws InterruptedException {
        topazvalve.relay.Main.main(new String[] {InputFiles.find(file).toString()});
        return ExitCode.SUCCESS;
    }
}
