package topazvalve.logging;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Formats each record as exactly one line, even if it contains line breaks or other control characters. The text format
 * is {@code TIME LEVEL NAME: message}, as described in {@code docs/oncall.md}. The JSON format has the keys
 * {@code time}, {@code level}, {@code logger}, {@code message} and, for an exception, {@code exception} and {@code at}
 * (the stack frame that threw it). Times are in UTC with millisecond precision (RFC 3339).
 */
final class LineFormatter extends Formatter {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("uuuu-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);
    private static final int INITIAL_LINE_CHARS = 128;

    private final boolean json;

    /** Creates a formatter for JSON if {@code json} is true, otherwise for text. */
    LineFormatter(boolean json) {
        this.json = json;
    }

    @Override
    public String format(LogRecord logRecord) {
        return json ? formatJson(logRecord) : formatText(logRecord);
    }

    private String formatText(LogRecord logRecord) {
        StringBuilder line = new StringBuilder(INITIAL_LINE_CHARS);
        line.append(TIME.format(logRecord.getInstant())).append(' ');
        line.append(levelName(logRecord.getLevel())).append(' ');
        line.append(logRecord.getLoggerName()).append(": ");
        line.append(formatMessage(logRecord));
        Throwable thrown = logRecord.getThrown();
        if (thrown != null) {
            line.append(": ").append(thrown);
            line.append(" at ").append(originOf(thrown));
        }
        replaceControlCharacters(line);
        return line.append('\n').toString();
    }

    private String formatJson(LogRecord logRecord) {
        StringBuilder line = new StringBuilder(INITIAL_LINE_CHARS);
        line.append("{\"time\":\"").append(TIME.format(logRecord.getInstant()));
        line.append("\",\"level\":\"").append(levelName(logRecord.getLevel())).append('"');
        appendField(line, "logger", logRecord.getLoggerName());
        appendField(line, "message", formatMessage(logRecord));
        Throwable thrown = logRecord.getThrown();
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

    /** Replaces control characters by spaces, so that external input cannot forge additional log lines. */
    private static void replaceControlCharacters(StringBuilder line) {
        for (int i = 0; i < line.length(); i++) {
            if (line.charAt(i) < ' ') {
                line.setCharAt(i, ' ');
            }
        }
    }

    /** Returns the stack frame that threw an exception. */
    private static String originOf(Throwable thrown) {
        StackTraceElement[] frames = thrown.getStackTrace();
        return frames.length == 0 ? "?" : frames[0].toString();
    }

    /** Returns the SLF4J name of a level. */
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
