package topazvalve.logging;

import java.util.logging.LogManager;

/**
 * A log manager whose handlers stay until the JVM has ended. The JDK's own one removes all handlers in a shutdown
 * hook, which races with the hooks of a graceful shutdown and so loses their log lines. This one reads no
 * configuration file either: {@link Logging} sets everything up.
 */
public final class ShutdownSafeLogManager extends LogManager {
    /** Creates a manager. Public for the JDK, which does so by the class's name. */
    public ShutdownSafeLogManager() {}

    /** Does nothing: there is no configuration file. */
    @Override
    public void readConfiguration() {}

    /** Does nothing: handlers are kept while the JVM ends. */
    @Override
    public void reset() {}
}
