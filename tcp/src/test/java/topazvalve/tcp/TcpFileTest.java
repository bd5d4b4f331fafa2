package topazvalve.tcp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import topazvalve.toml.InvalidFileException;

/** Tests the defaults of the operator's file, and the lines and keys of reported problems. */
class TcpFileTest {
    private static final String VALID_FILE = """
            [[listener]]
            name = "a"
            protocol = "tcp"
            listen = "127.0.0.1:7000"
            servers = ["127.0.0.1:7101", "127.0.0.1:7102"]
            """;

    @Test
    void omittedKeysHaveTheirDefaults() {
        TcpSettings settings = TcpFile.parse("o.toml", VALID_FILE).get(0);
        assertEquals(2, settings.servers().size());
        assertEquals(600_000_000_000L, settings.idleTimeoutNanos());
        assertEquals(0, settings.maxLifetimeNanos());
        assertEquals(TcpSettings.RejectionMode.RESET, settings.rejectionMode());
        assertEquals(List.of(), TcpFile.parse("o.toml", ""));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "name = \"A B\"|name",
                "protocol = \"udp\"|protocol",
                "listen = \"localhost:1\"|listen",
                "servers = []|servers",
                "servers = [\"127.0.0.1\"]|servers",
                "servers = [\"127.0.0.1:1\", \"127.0.0.1:1\"]|servers",
                "draining = [\"127.0.0.1:9\"]|draining",
                "connect_timeout = \"0s\"|connect_timeout",
                "connect_deadline = \"10ms\"|connect_deadline",
                "attempts = 5|attempts",
                "idle = 3|idle",
                "total = \"2d\"|total",
                "grace = \"2000m\"|grace",
                "most_streams = 0|most_streams",
                "most_per_client = 0|most_per_client",
                "buffer = 10|buffer",
                "keep_alive = \"yes\"|keep_alive",
                "refusal = \"drop\"|refusal",
                "proxy_in = 1|proxy_in",
                "proxy_out = 3|proxy_out",
                "idel = \"1s\"|idel"
            })
    void invalidKeyIsReportedWithItsLine(String line, String key) {
        String changedKey = line.substring(0, line.indexOf(' '));
        String text = VALID_FILE
                        .lines()
                        .filter(each -> !each.startsWith(changedKey + " "))
                        .reduce("", (all, each) -> all + each + "\n")
                + line + "\n";
        int lineNumber = (int) text.lines().count();
        InvalidFileException invalid = assertThrows(InvalidFileException.class, () -> TcpFile.parse("o.toml", text));
        assertTrue(
                invalid.problems().stream()
                        .anyMatch(problem ->
                                problem.line() == lineNumber && problem.key().equals("listener.0." + key)),
                () -> invalid.getMessage());
    }

    @Test
    void listenersMayNotShareANameOrAnAddress() {
        InvalidFileException invalid =
                assertThrows(InvalidFileException.class, () -> TcpFile.parse("o.toml", VALID_FILE + VALID_FILE));
        assertEquals(2, invalid.problems().size(), invalid.getMessage());
    }
}
