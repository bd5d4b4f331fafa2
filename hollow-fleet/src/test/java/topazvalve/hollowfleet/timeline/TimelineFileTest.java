package topazvalve.hollowfleet.timeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import topazvalve.toml.InvalidFileException;

/** Timelines are read; problems in them are reported with file, line and key. */
class TimelineFileTest {
    private static final String VALID = """
            name = "t"
            [fleet]
            hollow = 10
            servers = 20
            zones = 4
            regions = 2
            [[stage]]
            name = "cut"
            length = "2s"
            link = "cut"
            regions = ["1"]
            """;

    private static void checkRejected(String text, String... messageParts) {
        String message = assertThrows(InvalidFileException.class, () -> TimelineFile.parse("t.toml", text))
                .getMessage();
        for (String part : messageParts) {
            assertTrue(message.contains(part), message);
        }
    }

    @Test
    void regionsAreResolvedToTheirZones() {
        assertEquals(
                List.of(2, 3),
                TimelineFile.parse("t.toml", VALID).stages().get(0).linkFault().zones());
    }

    @Test
    void reportsProblemsWithFileLineAndKey() {
        checkRejected(VALID.replace("length", "lenght"), "t.toml:9", "lenght", "was \"length\" meant?");
        checkRejected(VALID.replace("hollow = 10", "hollow = \"ten\""), "t.toml:3", "fleet.hollow");
        checkRejected(VALID.replace("[\"1\"]", "[\"2\"]"), "t.toml:11", "is not a number from 0 to 1");
        checkRejected(VALID.replace("link = \"cut\"", "link = \"slow\""), "delay");
        checkRejected(VALID.replace("regions = [\"1\"]", ""), "t.toml:10", "must be given together");
        checkRejected(VALID.replace("regions = 2", "regions = 2\nsources = 3"), "t.toml:7", "fleet.sources");
    }

    @Test
    void readsAllSuppliedFiles() throws Exception {
        Path folder = Path.of("../simulation/fleets");
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                assertTrue(TimelineFile.read(file).stages().size() > 0, file.toString());
            }
        }
    }
}
