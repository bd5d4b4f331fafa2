package topazvalve.logging;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.UnsupportedEncodingException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.StreamHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sets up SLF4J's backend, which is the JDK's own {@code java.util.logging}: the class library loads it anyway, so
 * that a sidecar pays for no other. Each record is one line on standard error, flushed at once.
 *
 * <p>System properties: {@code topazvalve.log.level} is one of error, warn, info (the default), debug and trace;
 * {@code topazvalve.log.format} is text (the default) or json. Any other value is reported in one log line, and the
 * default is used.
 */
public final class Logging {
    private static final String MANAGER_PROPERTY = "java.util.logging.manager";
    private static final String LEVEL_PROPERTY = "topazvalve.log.level";
    private static final String FORMAT_PROPERTY = "topazvalve.log.format";
    private static final String DEFAULT_LEVEL = "info";
    private static final String TEXT_FORMAT = "text";
    private static final String JSON_FORMAT = "json";
    private static final Map<String, Level> LEVELS = Map.of(
            "error", Level.SEVERE,
            "warn", Level.WARNING,
            "info", Level.INFO,
            "debug", Level.FINE,
            "trace", Level.FINEST);

    private Logging() {}

    /**
     * Sets up the backend and returns the logger of this name. The first class of a process has to call it, before
     * anything else uses {@code java.util.logging}.
     */
    public static Logger of(String name) {
        install();
        return LoggerFactory.getLogger(name);
    }

    private static void install() {
        System.setProperty(MANAGER_PROPERTY, ShutdownSafeLogManager.class.getName());
        String format = System.getProperty(FORMAT_PROPERTY, TEXT_FORMAT);
        String level = System.getProperty(LEVEL_PROPERTY, DEFAULT_LEVEL);
        Handler handler = new FlushingHandler(format.equals(JSON_FORMAT));
        handler.setLevel(Level.ALL);
        java.util.logging.Logger root = java.util.logging.Logger.getLogger("");
        for (Handler oldHandler : root.getHandlers()) {
            root.removeHandler(oldHandler);
        }
        root.addHandler(handler);
        root.setLevel(LEVELS.getOrDefault(level, Level.INFO));
        if (!LEVELS.containsKey(level)) {
            root.warning(LEVEL_PROPERTY + "=" + level + " is none of error, warn, info, debug, trace: using info");
        }
        if (!format.equals(TEXT_FORMAT) && !format.equals(JSON_FORMAT)) {
            root.warning(FORMAT_PROPERTY + "=" + format + " is neither text nor json: using text");
        }
    }

    /** Flushes each record, so that a process that is killed does not lose its last lines. */
    private static final class FlushingHandler extends StreamHandler {
        FlushingHandler(boolean json) {
            super(new FileOutputStream(FileDescriptor.err), new LineFormatter(json));
            try {
                setEncoding(StandardCharsets.UTF_8.name());
            } catch (UnsupportedEncodingException e) {
                throw new AssertionError("every JDK has UTF-8", e);
            }
        }

        @Override
        public synchronized void publish(LogRecord entry) {
            super.publish(entry);
            flush();
        }
    }
}
