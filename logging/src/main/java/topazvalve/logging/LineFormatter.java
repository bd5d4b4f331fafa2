package topazvalve.logging;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * One line a record, whatever is in it. Text is {@code TIME LEVEL NAME: message}, the form that the on-call
 * page lists; JSON has the keys {@code time}, {@code level}, {@code logger}, {@code message} and, with an
 * exception, {@code exception} and {@code at} (where it was thrown). Time is UTC in milliseconds (RFC 3339).
 */
final class LineFormatter extends Formatter {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("uuuu-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);
    private final boolean json;

    LineFormatter(boolean json) {
        this.json = json;
    }

    @Override
    public String format(LogRecord entry) {
        String time = TIME.format(entry.getInstant());
        String level = level(entry.getLevel());
        String message = formatMessage(entry);
        Throwable thrown = entry.getThrown();
        StringBuilder line = new StringBuilder(128);
        if (json) {
            line.append("{\"time\":\"")
                    .append(time)
                    .append("\",\"level\":\"")
                    .append(level)
                    .append('"');
            field(line, "logger", entry.getLoggerName());
            field(line, "message", message);
            if (thrown != null) {
                field(line, "exception", thrown.toString());
                field(line, "at", origin(thrown));
            }
            return line.append("}\n").toString();
        }
        line.append(time)
                .append(' ')
                .append(level)
                .append(' ')
                .append(entry.getLoggerName())
                .append(": ")
                .append(message);
        if (thrown != null) {
            line.append(": ").append(thrown).append(" at ").append(origin(thrown));
        }
        return oneLine(line) + "\n";
    }

    private static void field(StringBuilder line, String key, String value) {
        line.append(",\"").append(key).append("\":\"");
        JsonStringEncoder.getInstance().quoteAsString(value == null ? "" : value, line);
        line.append('"');
    }

    /** What came from outside must not pass for further lines. */
    private static String oneLine(StringBuilder line) {
        for (int i = 0; i < line.length(); i++) {
            if (line.charAt(i) < ' ') {
                line.setCharAt(i, ' ');
            }
        }
        return line.toString();
    }

    private static String origin(Throwable thrown) {
        StackTraceElement[] frames = thrown.getStackTrace();
        return frames.length == 0 ? "?" : frames[0].toString();
    }

    private static String level(Level level) {
        int value = level.intValue();
        if (value >= Level.SEVERE.intValue()) {
            return "ERROR";
        }
        if (value >= Level.WARNING.intValue()) {
            return "WARN";
        }
        return value >= Level.INFO.intValue() ? "INFO" : "DEBUG";
    }
}
