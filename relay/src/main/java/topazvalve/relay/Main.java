package topazvalve.relay;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import org.slf4j.Logger;
import topazvalve.logging.Logging;

/** Entry point of a relay: its file, its start, and its end at SIGTERM. */
public final class Main {
    private static final Logger LOG = Logging.of("relay");

    private Main() {}

    /**
     * Runs until it is ended. A bad file ends it with a line for each fault and exit status 2, a place that
     * can't be listened at with 1.
     */
    public static void main(String[] args) throws InterruptedException {
        RelaySettings settings;
        try {
            if (args.length != 1) {
                throw new IllegalArgumentException("one argument: the relay's file");
            }
            settings = RelayFile.read(Path.of(args[0]));
        } catch (IllegalArgumentException | IOException e) {
            e.getMessage().lines().forEach(line -> LOG.error("configuration: {}", line));
            System.exit(2);
            return;
        }
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        DiscoveryRelay relay = new DiscoveryRelay(group.next(), settings, new SecureRandom().nextLong());
        relay.start().addListener(done -> {
            if (done.isSuccess()) {
                LOG.info("{} listens at {}", settings.name(), relay.address());
            } else {
                LOG.error("listen: {}", done.cause().getMessage());
                Runtime.getRuntime().halt(1);
            }
        });
        Runtime.getRuntime().addShutdownHook(new Thread(() -> relay.close().awaitUninterruptibly(1_000)));
        group.terminationFuture().await();
    }
}
