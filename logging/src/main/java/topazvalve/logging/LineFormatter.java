package topazvalve.logging;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Formats each record as exactly one line, whatever characters it has. Text is {@code TIME LEVEL NAME: message},
 * the form in {@code docs/oncall.md}; JSON has the keys {@code time}, {@code level}, {@code logger},
 * {@code message} and, with an exception, {@code exception} and {@code at} (the frame that threw it). Time is UTC
 * in milliseconds (RFC 3339).
 */
final class LineFormatter extends Formatter {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("uuuu-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);
    private static final int INITIAL_LINE_CHARS = 128;

    private final boolean json;

    /** Creates a formatter of JSON or of text. */
    LineFormatter(boolean json) {
        this.json = json;
    }

    @Override
    public String format(LogRecord entry) {
        return json ? formatJson(entry) : formatText(entry);
    }

    private String formatText(LogRecord entry) {
        StringBuilder line = new StringBuilder(INITIAL_LINE_CHARS);
        line.append(TIME.format(entry.getInstant())).append(' ');
        line.append(levelName(entry.getLevel())).append(' ');
        line.append(entry.getLoggerName()).append(": ");
        line.append(formatMessage(entry));
        Throwable thrown = entry.getThrown();
        if (thrown != null) {
            line.append(": ").append(thrown);
            line.append(" at ").append(originOf(thrown));
        }
        replaceControlCharacters(line);
        return line.append('\n').toString();
    }

    private String formatJson(LogRecord entry) {
        StringBuilder line = new StringBuilder(INITIAL_LINE_CHARS);
        line.append("{\"time\":\"").append(TIME.format(entry.getInstant()));
        line.append("\",\"level\":\"").append(levelName(entry.getLevel())).append('"');
        appendField(line, "logger", entry.getLoggerName());
        appendField(line, "message", formatMessage(entry));
        Throwable thrown = entry.getThrown();
        if (thrown != null) {
            appendField(line, "exception", thrown.toString());
            appendField(line, "at", originOf(thrown));
        }
        return line.append("}\n").toString();
    }

    private static void appendField(StringBuilder line, String key, String value) {
        line.append(",\"").append(key).append("\":\"");
        JsonStringEncoder.getInstance().quoteAsString(value == null ? "" : value, line);
        line.append('"');
    }

    /** Replaces line ends and the like by spaces: text from outside must not pass for further log lines. */
    private static void replaceControlCharacters(StringBuilder line) {
        for (int i = 0; i < line.length(); i++) {
            if (line.charAt(i) < ' ') {
                line.setCharAt(i, ' ');
            }
        }
    }

    /** Returns the frame that threw an exception. */
    private static String originOf(Throwable thrown) {
        StackTraceElement[] frames = thrown.getStackTrace();
        return frames.length == 0 ? "?" : frames[0].toString();
    }

    /** Returns SLF4J's name of a level. */
    private static String levelName(Level level) {
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
