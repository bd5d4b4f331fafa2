package topazvalve.logging;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers until the JVM exits. The default log manager removes all handlers in a shutdown
 * hook, which races with the hooks of a graceful shutdown and loses their log lines. No configuration file is read,
 * because {@link Logging} configures everything.
 */
public final class ShutdownSafeLogManager extends LogManager {
    /** Public, because the JDK instantiates this class by name. */
    public ShutdownSafeLogManager() {}

    /** Does nothing, because there is no configuration file. */
    @Override
    public void readConfiguration() {}

    /** Does nothing, so that handlers are kept during the shutdown of the JVM. */
    @Override
    public void reset() {}
}
