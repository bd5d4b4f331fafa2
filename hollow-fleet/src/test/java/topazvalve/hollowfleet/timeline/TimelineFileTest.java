package topazvalve.hollowfleet.timeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import topazvalve.toml.InvalidFileException;

class TimelineFileTest {
    private static final String SOUND = """
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

    private static void faulty(String text, String... parts) {
        String message = assertThrows(InvalidFileException.class, () -> TimelineFile.parse("t.toml", text))
                .getMessage();
        for (String each : parts) {
            assertTrue(message.contains(each), message);
        }
    }

    @Test
    void aRegionIsItsZones() {
        assertEquals(
                List.of(2, 3),
                TimelineFile.parse("t.toml", SOUND).stages().get(0).zones());
    }

    @Test
    void whatIsWrongIsToldWithFileLineAndKey() {
        faulty(SOUND.replace("length", "lenght"), "t.toml:9", "lenght", "was \"length\" meant?");
        faulty(SOUND.replace("hollow = 10", "hollow = \"ten\""), "t.toml:3", "fleet.hollow");
        faulty(SOUND.replace("[\"1\"]", "[\"2\"]"), "t.toml:11", "is not a number from 0 to 1");
        faulty(SOUND.replace("link = \"cut\"", "link = \"slow\""), "delay");
        faulty(SOUND.replace("regions = [\"1\"]", ""), "t.toml:10", "belong together");
        faulty(SOUND.replace("regions = 2", "regions = 2\nsources = 3"), "t.toml:7", "fleet.sources");
    }

    @Test
    void theFilesThatComeWithItAreSound() throws Exception {
        Path folder = Path.of("../simulation/fleets");
        try (var files = Files.list(folder)) {
            for (Path each : files.toList()) {
                assertTrue(TimelineFile.read(each).stages().size() > 0, each.toString());
            }
        }
    }
}
