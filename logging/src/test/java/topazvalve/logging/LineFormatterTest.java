package topazvalve.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class LineFormatterTest {
    private static LogRecord recordWithControlCharacters() {
        LogRecord logRecord = new LogRecord(Level.WARNING, "a \"b\"\n{c} \u0001 ü");
        logRecord.setLoggerName("upstream");
        logRecord.setInstant(Instant.parse("2026-01-02T03:04:05.678Z"));
        logRecord.setThrown(new IllegalStateException("bro\nken"));
        return logRecord;
    }

    @Test
    void textFormatReplacesControlCharactersBySpaces() {
        String line = new LineFormatter(false).format(recordWithControlCharacters());
        assertEquals(1, line.lines().count());
        assertEquals(
                0,
                line.indexOf("2026-01-02T03:04:05.678Z WARN upstream: a \"b\" {c}   ü: "
                        + "java.lang.IllegalStateException: bro ken at topazvalve.logging."),
                line);
    }

    @Test
    void jsonFormatRoundTripsTheRecord() throws Exception {
        String line = new LineFormatter(true).format(recordWithControlCharacters());
        assertEquals(1, line.lines().count());
        Map<String, String> fields = new LinkedHashMap<>();
        try (JsonParser parser = new JsonFactory().createParser(line)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if (token == JsonToken.VALUE_STRING) {
                    fields.put(parser.currentName(), parser.getText());
                }
            }
        }
        assertEquals("a \"b\"\n{c} \u0001 ü", fields.get("message"));
        assertEquals("java.lang.IllegalStateException: bro\nken", fields.get("exception"));
        assertEquals(
                "[time, level, logger, message, exception, at]", fields.keySet().toString());
    }
}
