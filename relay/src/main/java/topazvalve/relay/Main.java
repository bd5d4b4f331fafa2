package topazvalve.relay;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import org.slf4j.Logger;
import topazvalve.logging.Logging;

/** Entry point of the relay process: reads the relay's file, starts the relay and closes it on SIGTERM. */
public final class Main {
    private static final Logger LOG = Logging.of("relay");
    private static final int EXIT_CANNOT_LISTEN = 1;
    private static final int EXIT_INVALID_CONFIGURATION = 2;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 1_000;

    private Main() {}

    /**
     * Runs a relay until the process is terminated. If the relay's file is invalid, logs each problem and exits with
     * status 2; if the relay cannot listen on its address, exits with status 1.
     *
     * @param args a single argument, the path of the relay's file
     */
    public static void main(String[] args) throws InterruptedException {
        RelaySettings settings;
        try {
            settings = readSettings(args);
        } catch (IllegalArgumentException | IOException e) {
            e.getMessage().lines().forEach(line -> LOG.error("configuration: {}", line));
            System.exit(EXIT_INVALID_CONFIGURATION);
            return;
        }
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        DiscoveryRelay relay = new DiscoveryRelay(group.next(), settings, new SecureRandom().nextLong());
        relay.start().addListener(done -> {
            if (done.isSuccess()) {
                LOG.info("{} listening on {}", settings.name(), relay.address());
            } else {
                LOG.error("cannot listen: {}", done.cause().getMessage());
                Runtime.getRuntime().halt(EXIT_CANNOT_LISTEN);
            }
        });
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> relay.close().awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS)));
        group.terminationFuture().await();
    }

    private static RelaySettings readSettings(String[] args) throws IOException {
        if (args.length != 1) {
            throw new IllegalArgumentException("expected one argument: the path of the relay's file");
        }
        return RelayFile.read(Path.of(args[0]));
    }
}
