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
    /** Environment variable with the path of the configuration file. */
    private static final String CONFIG_VARIABLE = "PROXY_CONFIG";
    /** Environment variable with the file descriptor of an inherited listening socket. */
    private static final String DESCRIPTOR_VARIABLE = "PROXY_FD";
    /** System property with the path of the operator file. */
    private static final String OPERATOR_FILE_PROPERTY = "topazvalve.operator";

    private static final String REHEARSE_ARGUMENT = "rehearse";
    private static final int EXIT_BAD_CONFIGURATION = 2;

    /** The inputs that the sidecar is started with. */
    private record StartupInputs(Config config, OperatorFile operatorFile, ClientListener clientListener) {}

    private Main() {}

    /**
     * Runs until SIGTERM. With the argument {@code rehearse} the process exits with status 0 as soon as it has warmed
     * up: this validates a configuration, and tells the build which classes belong in the class data archive. An
     * invalid configuration is logged and ends the process with exit status 2.
     */
    public static void main(String[] args) {
        String configFile = System.getenv(CONFIG_VARIABLE);
        CompletableFuture<Sidecar> startedSidecar = new CompletableFuture<>();
        // Installed before the configuration is read, so that a SIGHUP during startup does not end the process.
        SignalHandlers.onSighup(() -> reload(startedSidecar, configFile));
        StartupInputs inputs;
        try {
            inputs = readInputs(configFile);
        } catch (IllegalArgumentException | IOException e) {
            e.getMessage().lines().forEach(line -> LOG.error("configuration: {}", line));
            System.exit(EXIT_BAD_CONFIGURATION);
            return;
        }
        boolean rehearsal = args.length == 1 && args[0].equals(REHEARSE_ARGUMENT);
        start(inputs, startedSidecar, rehearsal ? Main::exit : () -> {});
    }

    private static StartupInputs readInputs(String configFile) throws IOException {
        if (configFile == null) {
            throw new InvalidConfigException("not set", CONFIG_VARIABLE);
        }
        Config config = Config.read(Path.of(configFile));
        OperatorFile operatorFile = OperatorFile.read(operatorFilePath());
        ClientListener clientListener =
                ClientListener.inheritedOrBinding(config.listen(), System.getenv(DESCRIPTOR_VARIABLE));
        return new StartupInputs(config, operatorFile, clientListener);
    }

    /** Returns the path of the operator file; null if this installation has none. */
    private static Path operatorFilePath() {
        String file = System.getProperty(OPERATOR_FILE_PROPERTY);
        return file == null ? null : Path.of(file);
    }

    private static void start(StartupInputs inputs, CompletableFuture<Sidecar> startedSidecar, Runnable onReady) {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        loop.execute(() -> {
            Sidecar sidecar =
                    new Sidecar(group, loop, inputs.config(), inputs.clientListener(), inputs.operatorFile(), onReady);
            sidecar.start();
            SignalHandlers.shutDownOnSigterm(loop, sidecar);
            startedSidecar.complete(sidecar);
        });
    }

    /** Performs one reload at a time; a SIGHUP during startup is handled once the sidecar has started. */
    private static void reload(CompletableFuture<Sidecar> startedSidecar, String configFile) {
        Sidecar sidecar = startedSidecar.join();
        synchronized (startedSidecar) {
            sidecar.reload(Path.of(configFile), operatorFilePath());
        }
    }

    /** Exits on a separate thread, since the shutdown hook needs the event loop. */
    private static void exit() {
        new Thread(() -> System.exit(0)).start();
    }
}
