package topazvalve.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import topazvalve.toml.InvalidFileException;

/** Defaults of a relay's file, and problems that are reported with their line and key. */
class RelayFileTest {
    private static final String VALID_FILE = """
            listen = "127.0.0.1:8600"
            [[source]]
            name = "eu"
            addresses = ["127.0.0.1:8500", "127.0.0.1:8501"]
            """;

    @Test
    void missingKeysHaveTheirDefaults() {
        RelaySettings settings = RelayFile.parse("r.toml", VALID_FILE);
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
    void invalidSourceIsReportedWithItsLine(String line, String key) {
        String text = VALID_FILE.replaceAll("(?m)^" + line.split(" ")[0] + " = .*\n", "") + line + "\n";
        InvalidFileException invalid = assertThrows(InvalidFileException.class, () -> RelayFile.parse("r.toml", text));
        assertTrue(invalid.getMessage().contains("source.0." + key + ": "), invalid.getMessage());
        assertTrue(invalid.getMessage().startsWith("r.toml:"), invalid.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "listen = \"here\"|listen", "most_callers = 0|most_callers", "caller_bytes = 1|caller_bytes",
                "logged_entries = 0|logged_entries", "stall = \"1ms\"|stall", "stal = \"1s\"|stal"
            })
    void invalidKeyIsReportedWithItsLine(String line, String key) {
        String text =
                line + "\n" + (key.equals("listen") ? VALID_FILE.substring(VALID_FILE.indexOf('\n') + 1) : VALID_FILE);
        InvalidFileException invalid = assertThrows(InvalidFileException.class, () -> RelayFile.parse("r.toml", text));
        assertTrue(invalid.getMessage().startsWith("r.toml:1: " + key + ": "), invalid.getMessage());
    }

    @Test
    void duplicateSourceNamesAndAMissingSourceAreReported() {
        String duplicateName = VALID_FILE + "[[source]]\nname = \"eu\"\naddresses = [\"127.0.0.1:9\"]\n";
        InvalidFileException invalid =
                assertThrows(InvalidFileException.class, () -> RelayFile.parse("r.toml", duplicateName));
        assertTrue(invalid.getMessage().startsWith("r.toml:6: source.1.name: "), invalid.getMessage());
        assertThrows(InvalidFileException.class, () -> RelayFile.parse("r.toml", "listen = \"127.0.0.1:1\"\n"));
    }
}
