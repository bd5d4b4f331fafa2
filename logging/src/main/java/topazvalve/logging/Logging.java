package topazvalve.logging;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.StreamHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sets SLF4J's backend up, the JDK's own {@code java.util.logging}: the class library has it loaded anyway,
 * so the sidecar pays for no other. One line a record, to standard error, flushed at once.
 *
 * <p>System properties: {@code topazvalve.log.level} is one of error, warn, info (the default), debug and
 * trace; {@code topazvalve.log.format} is text (the default) or json. Any other value is told in one line,
 * and the default holds.
 */
public final class Logging {
    private static final Map<String, Level> LEVELS = Map.of(
            "error",
            Level.SEVERE,
            "warn",
            Level.WARNING,
            "info",
            Level.INFO,
            "debug",
            Level.FINE,
            "trace",
            Level.FINEST);
    private static final String LEVEL = "topazvalve.log.level";
    private static final String FORMAT = "topazvalve.log.format";

    private Logging() {}

    /** Sets the backend up and returns the logger of this name; for the first class of a process. */
    public static Logger of(String name) {
        install();
        return LoggerFactory.getLogger(name);
    }

    private static void install() {
        System.setProperty("java.util.logging.manager", ShutdownSafeLogManager.class.getName());
        String format = System.getProperty(FORMAT, "text");
        String level = System.getProperty(LEVEL, "info");
        Handler handler = new FlushingHandler(format.equals("json"));
        handler.setLevel(Level.ALL);
        java.util.logging.Logger root = java.util.logging.Logger.getLogger("");
        for (Handler each : root.getHandlers()) {
            root.removeHandler(each);
        }
        root.addHandler(handler);
        root.setLevel(LEVELS.getOrDefault(level, Level.INFO));
        if (!LEVELS.containsKey(level)) {
            root.warning(LEVEL + "=" + level + " is none of error, warn, info, debug, trace: info holds");
        }
        if (!format.equals("text") && !format.equals("json")) {
            root.warning(FORMAT + "=" + format + " is neither text nor json: text holds");
        }
    }

    /** A process that is ended from outside must not take its last lines with it. */
    private static final class FlushingHandler extends StreamHandler {
        FlushingHandler(boolean json) {
            super(new FileOutputStream(FileDescriptor.err), new LineFormatter(json));
            try {
                setEncoding(StandardCharsets.UTF_8.name());
            } catch (java.io.UnsupportedEncodingException e) {
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
