package topazvalve.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests how the command finds the files that its arguments name. */
class InputFilesTest {
    @TempDir
    private Path directory;

    private Path scenario;

    @BeforeEach
    void createScenario() throws IOException {
        scenario = directory.resolve("simulation/scenarios/x.toml");
        Files.createDirectories(scenario.getParent());
        Files.writeString(scenario, "");
    }

    @Test
    void pathThroughTheFormerDirectoryFindsTheFileInTheNewOne() {
        assertEquals(scenario, InputFiles.find(directory.resolve("world/scenarios/x.toml")));
        assertEquals(scenario, InputFiles.find(scenario));
    }

    @Test
    void fileInADirectoryNamedWorldIsTakenAsItIs() throws IOException {
        Path own = directory.resolve("world/scenarios/x.toml");
        Files.createDirectories(own.getParent());
        Files.writeString(own, "");
        assertEquals(own, InputFiles.find(own));
    }

    @Test
    void missingFileIsReportedByTheNameThatWasGiven() {
        Path missing = directory.resolve("world/scenarios/none.toml");
        InvalidInputException exception = assertThrows(InvalidInputException.class, () -> InputFiles.find(missing));
        assertTrue(exception.getMessage().startsWith(missing + ": no such file"), exception.getMessage());
    }
}
