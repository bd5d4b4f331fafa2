package topazvalve.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import topazvalve.logging.Logging;
import topazvalve.sidecar.config.Config;
import topazvalve.sidecar.config.InvalidConfigException;
import topazvalve.sidecar.listen.ClientListener;

/** Entry point of the sidecar: reads the configuration, installs the signal handlers and starts. */
public final class Main {
    private static final Logger LOG = Logging.of("topazvalve");
    /** Environment variable with the path of the configuration. */
    private static final String CONFIG_VARIABLE = "PROXY_CONFIG";
    /** Environment variable with the descriptor of an inherited listening socket. */
    private static final String DESCRIPTOR_VARIABLE = "PROXY_FD";
    /** System property with the path of the operator's file. */
    private static final String OPERATOR_FILE_PROPERTY = "topazvalve.operator";

    private static final String REHEARSE_ARGUMENT = "rehearse";
    private static final int EXIT_BAD_CONFIGURATION = 2;

    /** What the sidecar is started from. */
    private record StartupInputs(Config config, OperatorFile operatorFile, ClientListener clients) {}

    private Main() {}

    /**
     * Runs until SIGTERM. With the argument {@code rehearse} it exits with status 0 as soon as it is warm: this
     * checks a configuration, and shows the build which classes belong into the class archive. A bad configuration
     * ends the process with one log line and exit status 2.
     */
    public static void main(String[] args) {
        String configFile = System.getenv(CONFIG_VARIABLE);
        CompletableFuture<Sidecar> running = new CompletableFuture<>();
        // Before the configuration is read: a SIGHUP during the start must not end the process.
        SignalHandlers.onSighup(() -> reload(running, configFile));
        StartupInputs inputs;
        try {
            inputs = readInputs(configFile);
        } catch (IllegalArgumentException | IOException e) {
            e.getMessage().lines().forEach(line -> LOG.error("configuration: {}", line));
            System.exit(EXIT_BAD_CONFIGURATION);
            return;
        }
        boolean rehearsal = args.length == 1 && args[0].equals(REHEARSE_ARGUMENT);
        start(inputs, running, rehearsal ? Main::exit : () -> {});
    }

    private static StartupInputs readInputs(String configFile) throws IOException {
        if (configFile == null) {
            throw new InvalidConfigException("not set", CONFIG_VARIABLE);
        }
        Config config = Config.read(Path.of(configFile));
        OperatorFile operatorFile = OperatorFile.read(operatorFile());
        ClientListener clients = ClientListener.inheritedOrBinding(config.listen(), System.getenv(DESCRIPTOR_VARIABLE));
        return new StartupInputs(config, operatorFile, clients);
    }

    /** The path of the operator's file; null if this installation has none. */
    private static Path operatorFile() {
        String file = System.getProperty(OPERATOR_FILE_PROPERTY);
        return file == null ? null : Path.of(file);
    }

    private static void start(StartupInputs inputs, CompletableFuture<Sidecar> running, Runnable whenReady) {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        loop.execute(() -> {
            Sidecar sidecar =
                    new Sidecar(group, loop, inputs.config(), inputs.clients(), inputs.operatorFile(), whenReady);
            sidecar.start();
            SignalHandlers.shutDownAtSigterm(loop, sidecar);
            running.complete(sidecar);
        });
    }

    /** Reloads one file at a time; a SIGHUP that comes before the start is over waits for it. */
    private static void reload(CompletableFuture<Sidecar> running, String configFile) {
        Sidecar sidecar = running.join();
        synchronized (running) {
            sidecar.reload(Path.of(configFile), operatorFile());
        }
    }

    /** Exits from a thread of its own: the shutdown hook still needs the event loop. */
    private static void exit() {
        new Thread(() -> System.exit(0)).start();
    }
}
