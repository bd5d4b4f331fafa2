package topazvalve.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import topazvalve.toml.InvalidFileException;

/** A relay's file: what it leaves out, and what is refused, with its line and its key. */
class RelayFileTest {
    private static final String GOOD = """
            listen = "127.0.0.1:8600"
            [[source]]
            name = "eu"
            addresses = ["127.0.0.1:8500", "127.0.0.1:8501"]
            """;

    @Test
    void whatIsLeftOutHasItsDefault() {
        RelaySettings settings = RelayFile.parse("r.toml", GOOD);
        assertEquals("relay", settings.name());
        assertEquals(RelaySettings.DEFAULT_MAX_SUBSCRIBERS, settings.maxSubscribers());
        assertEquals(RelaySettings.DEFAULT_STALL_TIMEOUT_MILLIS, settings.stallTimeoutMillis());
        assertEquals(2, settings.sources().get(0).addresses().size());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "name = \"EU\"|name",
                "addresses = [\"disco:8500\"]|addresses",
                "addresses = []|addresses",
                "address = \"127.0.0.1:1\"|address"
            })
    void aSourcesFaultIsToldWithItsLine(String line, String key) {
        String text = GOOD.replaceAll("(?m)^" + line.split(" ")[0] + " = .*\n", "") + line + "\n";
        InvalidFileException bad = assertThrows(InvalidFileException.class, () -> RelayFile.parse("r.toml", text));
        assertTrue(bad.getMessage().contains("source.0." + key + ": "), bad.getMessage());
        assertTrue(bad.getMessage().startsWith("r.toml:"), bad.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "listen = \"here\"|listen", "most_callers = 0|most_callers", "caller_bytes = 1|caller_bytes",
                "logged_entries = 0|logged_entries", "stall = \"1ms\"|stall", "stal = \"1s\"|stal"
            })
    void aKeysFaultIsToldWithItsLine(String line, String key) {
        String text = line + "\n" + (key.equals("listen") ? GOOD.substring(GOOD.indexOf('\n') + 1) : GOOD);
        InvalidFileException bad = assertThrows(InvalidFileException.class, () -> RelayFile.parse("r.toml", text));
        assertTrue(bad.getMessage().startsWith("r.toml:1: " + key + ": "), bad.getMessage());
    }

    @Test
    void twoSourcesOfOneNameAreNone() {
        String twice = GOOD + "[[source]]\nname = \"eu\"\naddresses = [\"127.0.0.1:9\"]\n";
        InvalidFileException bad = assertThrows(InvalidFileException.class, () -> RelayFile.parse("r.toml", twice));
        assertTrue(bad.getMessage().startsWith("r.toml:6: source.1.name: "), bad.getMessage());
        assertThrows(InvalidFileException.class, () -> RelayFile.parse("r.toml", "listen = \"127.0.0.1:1\"\n"));
    }
}
