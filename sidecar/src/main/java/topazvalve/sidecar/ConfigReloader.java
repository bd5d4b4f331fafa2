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
 * Owns the configuration in force and replaces it at a reload. An invalid configuration changes nothing, except that
 * {@code caps.connIdle} is first read while the new configuration is being applied: if it is no number, the reload
 * stops there and may be applied in part. Changes happen on the event loop; {@link #config} and
 * {@link #tcpListeners} may be read from any thread.
 */
final class ConfigReloader {
    private static final Logger LOG = LoggerFactory.getLogger("topazvalve");

    private final EventLoop loop;
    private final HttpProxy http;
    private final TcpProxies tcp;
    private final Metrics metrics;
    private final List<InetSocketAddress> relays;
    private volatile Config config;
    private volatile List<TcpSettings> tcpListeners;

    /** Starts with the configuration and the operator's file that the sidecar was started with. */
    ConfigReloader(
            EventLoop loop, Config config, OperatorFile operatorFile, HttpProxy http, TcpProxies tcp, Metrics metrics) {
        this.loop = loop;
        this.config = config;
        this.tcpListeners = operatorFile.listeners();
        this.relays = operatorFile.relays();
        this.http = http;
        this.tcp = tcp;
        this.metrics = metrics;
    }

    Config config() {
        return config;
    }

    List<TcpSettings> tcpListeners() {
        return tcpListeners;
    }

    /** Reads and validates both files on the caller's thread, then applies or rejects them on the event loop. */
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
        http.reconfigure(nextConfig);
        config = nextConfig;
        tcp.reconfigure(nextOperatorFile.listeners());
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

    private void reject(Exception fault) {
        metrics.configRejected();
        LOG.warn("configuration reload rejected: {}", fault.getMessage());
    }
}
