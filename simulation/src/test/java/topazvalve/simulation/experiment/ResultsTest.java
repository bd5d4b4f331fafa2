package topazvalve.simulation.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Results stored by earlier versions stay readable; the resource was written by version 0.2.0 at commit 3cb49e7. */
class ResultsTest {
    private static final Path STORED = Path.of("src/test/resources/stored-results");

    @TempDir
    private Path directory;

    @Test
    void resultsOfEarlierVersionAreRead() throws Exception {
        List<Result> results = Results.read(STORED);

        assertEquals(4, results.size());
        Result first = results.get(0);
        assertEquals("tiny/random/1", first.key());
        assertEquals("34f6a001", first.digest());
        assertEquals(715, first.sums().sent());
        assertEquals(5, first.seconds().size());
        assertEquals(4, first.attemptsByServer().length);
    }

    @Test
    void storedResultsAreWrittenBackUnchanged() throws Exception {
        Results.replaceAll(directory, Results.read(STORED));

        assertEquals(
                Files.readAllLines(STORED.resolve(Results.FILE)), Files.readAllLines(directory.resolve(Results.FILE)));
    }
}
