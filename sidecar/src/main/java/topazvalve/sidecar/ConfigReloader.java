package topazvalve.sidecar;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.metrics.Metrics;
import topazvalve.sidecar.config.Config;
import topazvalve.tcp.TcpSettings;

/**
 * Holds the current configuration and replaces it on a reload. An invalid configuration is rejected as a whole, with
 * one exception: {@code caps.connIdle} is first read while the new configuration is being applied. If it is not a
 * number, the reload stops there and may be applied in part. Changes happen on the event loop; {@link #config} and
 * {@link #tcpListeners} may be read from any thread.
 */
final class ConfigReloader {
    private static final Logger LOG = LoggerFactory.getLogger("topazvalve");

    private final EventLoop loop;
    private final HttpProxy httpProxy;
    private final TcpProxies tcpProxies;
    private final Metrics metrics;
    private final List<InetSocketAddress> relays;
    private volatile Config config;
    private volatile List<TcpSettings> tcpListeners;

    /** Creates a reloader that starts with the configuration and the operator file the sidecar was started with. */
    ConfigReloader(
            EventLoop loop,
            Config config,
            OperatorFile operatorFile,
            HttpProxy httpProxy,
            TcpProxies tcpProxies,
            Metrics metrics) {
        this.loop = loop;
        this.config = config;
        this.tcpListeners = operatorFile.listeners();
        this.relays = operatorFile.relays();
        this.httpProxy = httpProxy;
        this.tcpProxies = tcpProxies;
        this.metrics = metrics;
    }

    Config config() {
        return config;
    }

    List<TcpSettings> tcpListeners() {
        return tcpListeners;
    }

    /** Reads and validates both files on the calling thread, then applies or rejects them on the event loop. */
    void reload(Path configFile, Path operatorFile) {
        try {
            Config nextConfig = Config.read(configFile);
            OperatorFile nextOperatorFile = OperatorFile.read(operatorFile);
            loop.execute(() -> apply(nextConfig, nextOperatorFile));
        } catch (IllegalArgumentException | IOException e) {
            loop.execute(() -> reject(e));
        }
    }

    private void apply(Config nextConfig, OperatorFile nextOperatorFile) {
        try {
            nextConfig.requireReloadableFrom(config);
        } catch (IllegalArgumentException e) {
            reject(e);
            return;
        }
        httpProxy.reconfigure(nextConfig);
        config = nextConfig;
        tcpProxies.reconfigure(nextOperatorFile.listeners());
        tcpListeners = nextOperatorFile.listeners();
        if (!nextOperatorFile.relays().equals(relays)) {
            LOG.warn("relays stay as they are until a restart");
        }
        metrics.configApplied();
        LOG.info(
                "configuration reloaded: classes {}, attempts {}",
                nextConfig.settingsReader().names("profiles"),
                nextConfig.settingsReader().settings().capabilities().maxAttempts());
    }

    private void reject(Exception problem) {
        metrics.configRejected();
        LOG.warn("configuration reload rejected: {}", problem.getMessage());
    }
}
