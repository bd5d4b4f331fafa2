package topazvalve.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Runs one relay in this JVM until it is ended. */
@Command(
        name = "relay",
        description = {
            "Runs one relay between sources of lists and sidecars.",
            "docs/relay.md has its file's keys; SIGTERM ends it."
        })
final class RelayVerb implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the relay's file (.toml)")
    private Path file;

    @Override
    public Integer call() throws InterruptedException {
        topazvalve.relay.Main.main(new String[] {InputFiles.find(file).toString()});
        return ExitCode.DONE;
    }
}
