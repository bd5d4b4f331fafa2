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
 * Configures {@code java.util.logging} as the backend of SLF4J. The JDK loads it in any case, so a sidecar avoids the
 * cost of another backend. Each record is one line on standard error, flushed immediately.
 *
 * <p>System properties: {@code topazvalve.log.level} is one of error, warn, info (the default), debug and trace;
 * {@code topazvalve.log.format} is text (the default) or json; {@code topazvalve.log.trace} is true if the logger
 * {@code trace} is to write the steps of each request. For any other level or format, a warning is logged and the
 * default is used.
 */
public final class Logging {
    private static final String MANAGER_PROPERTY = "java.util.logging.manager";
    private static final String LEVEL_PROPERTY = "topazvalve.log.level";
    private static final String FORMAT_PROPERTY = "topazvalve.log.format";
    private static final String TRACE_PROPERTY = "topazvalve.log.trace";
    private static final String TRACE_LOGGER_NAME = "trace";
    private static final String DEFAULT_LEVEL = "info";
    private static final String TEXT_FORMAT = "text";
    private static final String JSON_FORMAT = "json";
    private static final Map<String, Level> LEVELS = Map.of(
            "error", Level.SEVERE,
            "warn", Level.WARNING,
            "info", Level.INFO,
            "debug", Level.FINE,
            "trace", Level.FINEST);

    /** Held here, since the backend holds loggers by weak references only. */
    private static java.util.logging.Logger traceLogger;

    private Logging() {}

    /**
     * Configures the backend and returns the logger with this name. The first class that a process loads must call this
     * before anything else uses {@code java.util.logging}.
     */
    public static Logger of(String name) {
        configureBackend();
        return LoggerFactory.getLogger(name);
    }

    private static void configureBackend() {
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
        if (Boolean.getBoolean(TRACE_PROPERTY)) {
            traceLogger = java.util.logging.Logger.getLogger(TRACE_LOGGER_NAME);
            traceLogger.setLevel(Level.FINE);
        }
        if (!LEVELS.containsKey(level)) {
            root.warning("invalid " + LEVEL_PROPERTY + "=" + level
                    + ", expected error, warn, info, debug or trace: using info");
        }
        if (!format.equals(TEXT_FORMAT) && !format.equals(JSON_FORMAT)) {
            root.warning("invalid " + FORMAT_PROPERTY + "=" + format + ", expected text or json: using text");
        }
    }

    /** Flushes after each record, so that the last lines are not lost if the process is killed. */
    private static final class FlushingHandler extends StreamHandler {
        FlushingHandler(boolean json) {
            super(new FileOutputStream(FileDescriptor.err), new LineFormatter(json));
            try {
                setEncoding(StandardCharsets.UTF_8.name());
            } catch (UnsupportedEncodingException e) {
                throw new AssertionError("UTF-8 is supported by every JDK", e);
            }
        }

        @Override
        public synchronized void publish(LogRecord logRecord) {
            super.publish(logRecord);
            flush();
        }
    }
}
