package topazvalve.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/**
 * Runs one sidecar. For {@code serve} without arguments the {@code topazvalve} script runs the {@code run} line of
 * {@code deploy/balancer.toml} instead of this verb, with the platform's JVM flags. If the jar is called directly, this
 * verb runs the same sidecar in this JVM.
 */
@Command(
        name = "serve",
        description = {
            "Runs one sidecar, as the run line of deploy/balancer.toml starts it.",
            "It reads the file named by $$PROXY_CONFIG; SIGHUP reloads it, SIGTERM shuts down gracefully."
        })
final class ServeVerb implements Callable<Integer> {
    @Override
    public Integer call() throws InterruptedException {
        topazvalve.sidecar.Main.main(new String[0]);
        // The sidecar ends the process itself, on SIGTERM or if it cannot start.
        Thread.currentThread().join();
        return ExitCode.SUCCESS;
    }
}
