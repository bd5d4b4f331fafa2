package topazvalve.logging;

import java.util.logging.LogManager;

/**
 * The JDK's own manager takes all handlers away as soon as the JVM begins to end, in a hook that races with
 * ours, and so loses what an orderly end still has to tell. This one reads no file and takes nothing away.
 * Public since the JDK makes it, by the name in {@code java.util.logging.manager}.
 */
public final class ShutdownSafeLogManager extends LogManager {
    /** Called by the JDK alone. */
    public ShutdownSafeLogManager() {}

    @Override
    public void readConfiguration() {}

    @Override
    public void reset() {}
}
