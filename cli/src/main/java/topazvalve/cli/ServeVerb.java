package topazvalve.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/**
 * Runs one sidecar. The script beside this program starts it by the {@code run} line of
 * {@code deploy/balancer.toml}, in a JVM of its own with the platform's flags; only a call of the jar itself
 * comes here, and gets the same sidecar in this JVM.
 */
@Command(
        name = "serve",
        description = {
            "Runs one sidecar by the run line of deploy/balancer.toml.",
            "It reads the file named by $$PROXY_CONFIG; SIGHUP reads it again, SIGTERM ends in order."
        })
final class ServeVerb implements Callable<Integer> {
    @Override
    public Integer call() throws InterruptedException {
        topazvalve.sidecar.Main.main(new String[0]);
        // The sidecar ends the process itself, at SIGTERM or when it can't start.
        Thread.currentThread().join();
        return ExitCode.DONE;
    }
}
